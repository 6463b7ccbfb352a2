#include "json_fields.hpp"

#include <cmath>

namespace deckcart::simulator {
namespace {

using nlohmann::json;

constexpr double kMicrosecondsPerSecond = 1e6;

Duration durationOf(double seconds) {
    return Duration{std::llround(seconds * kMicrosecondsPerSecond)};
}

}  // namespace

double secondsOf(Duration duration) {
    return static_cast<double>(duration.count()) / kMicrosecondsPerSecond;
}

const json &requiredField(const json &object, const char *name) {
    const auto field = object.find(name);
    if (field == object.end() || field->is_null())
        throw MalformedInput::inField(name, "is missing");
    return *field;
}

const json &objectField(const json &object, const char *name) {
    static const json empty = json::object();
    const auto field = object.find(name);
    if (field == object.end() || field->is_null())
        return empty;
    if (!field->is_object())
        throw MalformedInput::inField(name, "is not an object");
    return *field;
}

const json &arrayField(const json &object, const char *name) {
    static const json empty = json::array();
    const auto field = object.find(name);
    if (field == object.end() || field->is_null())
        return empty;
    if (!field->is_array())
        throw MalformedInput::inField(name, "is not an array");
    return *field;
}

std::vector<double> numbersField(const json &object, const char *name) {
    std::vector<double> numbers;
    for (const auto &value : arrayField(object, name))
        numbers.push_back(value.is_null() ? 0 : valueAs<double>(value, name));
    return numbers;
}

Duration requiredDuration(const json &object, const char *name) {
    return durationOf(required<double>(object, name));
}

Duration optionalDuration(const json &object, const char *name) {
    return durationOf(optional<double>(object, name));
}

}  // namespace deckcart::simulator
