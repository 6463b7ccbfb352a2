#include "json_fields.hpp"

#include <set>
#include <vector>

#include "../base/address.hpp"

namespace deckcart::platform {

using nlohmann::json;

void throwFieldError(const std::string &fieldPath, const std::string &problem) {
    throw ParseError(fieldPath, "field " + fieldPath + " " + problem);
}

void JsonFields::fail(const char *name, const std::string &problem) const {
    throwFieldError(path.empty() ? name : path + "." + name, problem);
}

const json &JsonFields::required(const char *name) const {
    if (!object.is_object())
        throwFieldError(path.empty() ? name : path, "is not an object");
    const auto found = object.find(name);
    if (found == object.end())
        fail(name, "is missing");
    return *found;
}

std::string JsonFields::text(const char *name) const {
    const json &value = required(name);
    if (!value.is_string())
        fail(name, "is not a string");
    return value.get<std::string>();
}

double JsonFields::number(const char *name, double minimum, double maximum) const {
    const json &value = required(name);
    if (!value.is_number())
        fail(name, "is not a number");
    const auto number = value.get<double>();
    if (!(number >= minimum && number <= maximum))
        fail(name, "is out of range");
    return number;
}

bool JsonFields::boolean(const char *name) const {
    const json &value = required(name);
    if (!value.is_boolean())
        fail(name, "is not a boolean");
    return value.get<bool>();
}

std::int64_t JsonFields::integer(const char *name) const {
    const json &value = required(name);
    if (!value.is_number_integer())
        fail(name, "is not an integer");
    return value.get<std::int64_t>();
}

asio::ip::tcp::endpoint JsonFields::address(const char *name) const {
    const auto address = parseAddress(text(name));
    if (!address)
        fail(name, "is not HOST:PORT");
    return *address;
}

json parseUniqueKeys(const std::string &text) {
    std::vector<std::set<std::string>> keysOfOpenObjects;
    std::string duplicate;
    const auto onParseEvent = [&](int, json::parse_event_t event, json &value) {
        if (event == json::parse_event_t::object_start)
            keysOfOpenObjects.emplace_back();
        else if (event == json::parse_event_t::object_end)
            keysOfOpenObjects.pop_back();
        else if (event == json::parse_event_t::key) {
            const auto key = value.get<std::string>();
            if (!keysOfOpenObjects.back().insert(key).second && duplicate.empty())
                duplicate = key;
        }
        return true;
    };
    json document = json::parse(text, onParseEvent, false);
    if (document.is_discarded())
        throw ParseError({}, "the configuration is not JSON");
    if (!duplicate.empty())
        throwFieldError(duplicate, "appears more than once");
    return document;
}

}  // namespace deckcart::platform
