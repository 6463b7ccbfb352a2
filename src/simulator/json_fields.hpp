// Typed access to the fields of the simulator's JSON documents. Invalid fields are reported as
// MalformedInput with the name of the field. A null field is the same as an absent one.
#pragma once

#include <deckcart/policy.hpp>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>
#include <type_traits>
#include <vector>

#include "../base/parse_error.hpp"

namespace deckcart::simulator {

/// Input that violates the simulator's protocol; location() is the name of the invalid field, if
/// any.
class MalformedInput : public ParseError {
  public:
    using ParseError::ParseError;

    /// An error with the message "field NAME PROBLEM".
    [[nodiscard]] static MalformedInput inField(const std::string &name,
                                                const std::string &problem) {
        return {name, "field " + name + " " + problem};
    }
};

/// A required field of any type.
[[nodiscard]] const nlohmann::json &requiredField(const nlohmann::json &object, const char *name);
/// A field that is an object; an empty object if the field is absent.
[[nodiscard]] const nlohmann::json &objectField(const nlohmann::json &object, const char *name);
/// A field that is an array; an empty array if the field is absent.
[[nodiscard]] const nlohmann::json &arrayField(const nlohmann::json &object, const char *name);
/// The elements of an array of numbers; null counts as 0.
[[nodiscard]] std::vector<double> numbersField(const nlohmann::json &object, const char *name);
/// The duration in seconds, the unit of the protocol.
[[nodiscard]] double secondsOf(Duration duration);
/// A field that holds a duration in seconds.
[[nodiscard]] Duration requiredDuration(const nlohmann::json &object, const char *name);
/// The same; zero if the field is absent.
[[nodiscard]] Duration optionalDuration(const nlohmann::json &object, const char *name);

/// Converts a JSON value to T. Integer types accept integers only.
/// @param name  name of the field, for the error message
template <class T>
[[nodiscard]] T valueAs(const nlohmann::json &value, const char *name) {
    bool typeMatches = false;
    if constexpr (std::is_same_v<T, bool>)
        typeMatches = value.is_boolean();
    else if constexpr (std::is_same_v<T, std::string>)
        typeMatches = value.is_string();
    else if constexpr (std::is_unsigned_v<T>)
        typeMatches = value.is_number_unsigned();
    else if constexpr (std::is_integral_v<T>)
        typeMatches = value.is_number_integer();
    else
        typeMatches = value.is_number();
    if (!typeMatches)
        throw MalformedInput::inField(name, "has the wrong type");
    return value.get<T>();
}

/// A required field of type T.
template <class T>
[[nodiscard]] T required(const nlohmann::json &object, const char *name) {
    return valueAs<T>(requiredField(object, name), name);
}

/// A field of type T, or `fallback` if it is absent.
template <class T>
[[nodiscard]] T optional(const nlohmann::json &object, const char *name, T fallback = {}) {
    const auto field = object.find(name);
    if (field == object.end() || field->is_null())
        return fallback;
    return valueAs<T>(*field, name);
}

/// A keyword of the protocol and the value that it stands for.
template <class T>
struct Keyword {
    const char *text;
    T value;
};

/// A required field that holds one of the keywords.
template <class T>
[[nodiscard]] T requiredKeyword(const nlohmann::json &object, const char *name,
                                std::initializer_list<Keyword<T>> keywords) {
    const auto text = required<std::string>(object, name);
    for (const auto &keyword : keywords) {
        if (text == keyword.text)
            return keyword.value;
    }
    throw MalformedInput::inField(name, "has an unknown value");
}

}  // namespace deckcart::simulator
