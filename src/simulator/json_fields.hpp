// Typed access to the fields of the simulator's JSON documents. Everything that does not fit throws
// MalformedInput, which names the field. Absent and null fields are the same to the simulator.
#pragma once

#include <deckcart/policy.hpp>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>
#include <type_traits>
#include <vector>

#include "../base/parse_error.hpp"

namespace deckcart::simulator {

/// Input that does not follow the simulator's protocol; place() is the field at fault, if any.
class MalformedInput : public ParseError {
  public:
    using ParseError::ParseError;

    /// "field NAME PROBLEM"
    [[nodiscard]] static MalformedInput inField(const std::string &name,
                                                const std::string &problem) {
        return {name, "field " + name + " " + problem};
    }
};

/// A field that must be there.
[[nodiscard]] const nlohmann::json &requiredField(const nlohmann::json &object, const char *name);
/// An object, empty where the field is absent.
[[nodiscard]] const nlohmann::json &objectField(const nlohmann::json &object, const char *name);
/// An array, empty where the field is absent.
[[nodiscard]] const nlohmann::json &arrayField(const nlohmann::json &object, const char *name);
/// The numbers of an array; null counts as 0.
[[nodiscard]] std::vector<double> numbersField(const nlohmann::json &object, const char *name);
/// As the protocol writes it.
[[nodiscard]] double secondsOf(Duration duration);
/// Fields in seconds.
[[nodiscard]] Duration requiredDuration(const nlohmann::json &object, const char *name);
[[nodiscard]] Duration optionalDuration(const nlohmann::json &object, const char *name);

/// The value as T. Numbers are not converted: an integer type takes whole numbers only.
/// @param name  of the field, for the error
template <class T>
[[nodiscard]] T valueAs(const nlohmann::json &value, const char *name) {
    bool fits = false;
    if constexpr (std::is_same_v<T, bool>)
        fits = value.is_boolean();
    else if constexpr (std::is_same_v<T, std::string>)
        fits = value.is_string();
    else if constexpr (std::is_unsigned_v<T>)
        fits = value.is_number_unsigned();
    else if constexpr (std::is_integral_v<T>)
        fits = value.is_number_integer();
    else
        fits = value.is_number();
    if (!fits)
        throw MalformedInput::inField(name, "has a wrong type");
    return value.get<T>();
}

template <class T>
[[nodiscard]] T required(const nlohmann::json &object, const char *name) {
    return valueAs<T>(requiredField(object, name), name);
}

template <class T>
[[nodiscard]] T optional(const nlohmann::json &object, const char *name, T otherwise = {}) {
    const auto field = object.find(name);
    if (field == object.end() || field->is_null())
        return otherwise;
    return valueAs<T>(*field, name);
}

/// A word of the protocol and the value that it stands for.
template <class T>
struct Keyword {
    const char *text;
    T value;
};

template <class T>
[[nodiscard]] T requiredKeyword(const nlohmann::json &object, const char *name,
                                std::initializer_list<Keyword<T>> keywords) {
    const auto text = required<std::string>(object, name);
    for (const auto &keyword : keywords) {
        if (text == keyword.text)
            return keyword.value;
    }
    throw MalformedInput::inField(name, "holds an unknown word");
}

}  // namespace deckcart::simulator
