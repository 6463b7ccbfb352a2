#include "form.hpp"

#include <charconv>
#include <utility>

#include "../base/number.hpp"
#include "json_fields.hpp"
#include "name_value_list.hpp"

namespace deckcart::platform {
namespace {

// Events of the platform have a few hundred bytes. Bounds the memory for an event that never ends.
constexpr std::size_t kMaxEventBytes = 64 * 1024;
constexpr int kHexBase = 16;
constexpr std::size_t kEscapeDigits = 2;

std::string percentDecoded(std::string_view encoded) {
    std::string plain;
    for (std::size_t position = 0; position < encoded.size(); ++position) {
        if (encoded[position] != '%') {
            plain.push_back(encoded[position] == '+' ? ' ' : encoded[position]);
            continue;
        }
        const std::string_view digits = encoded.substr(position + 1, kEscapeDigits);
        const char *end = digits.data() + digits.size();
        unsigned value = 0;
        const bool valid = digits.size() == kEscapeDigits &&
                           std::from_chars(digits.data(), end, value, kHexBase).ptr == end;
        if (!valid)
            throw ParseError({}, "form data contains an invalid percent escape");
        plain.push_back(char(value));
        position += kEscapeDigits;
    }
    return plain;
}

}  // namespace

void Form::add(std::string name, std::string value) {
    if (values.contains(name))
        throw ParseError(name, "form data contains a duplicate name");
    set(std::move(name), std::move(value));
}

void Form::set(std::string name, std::string value) {
    values[std::move(name)] = std::move(value);
}

const std::string &Form::text(const char *name) const {
    const auto found = values.find(name);
    if (found == values.end())
        throwFieldError(name, "is missing");
    return found->second;
}

double Form::number(const char *name, double minimum, double maximum) const {
    const auto number = parseNumber(text(name));
    if (!number || !(*number >= minimum && *number <= maximum))
        throwFieldError(name, "is out of range");
    return *number;
}

Form parseForm(std::string_view text) {
    Form form;
    const bool wellFormed =
        forEachNameValue(text, '&', [&](std::string_view name, std::string_view value) {
            form.add(percentDecoded(name), percentDecoded(value));
            return true;
        });
    if (!wellFormed)
        throw ParseError({}, "form data contains a name without a value");
    return form;
}

std::optional<ServerSentEvent> ServerSentEventParser::consumeLine(std::string_view line) {
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    if (line.empty()) {
        ServerSentEvent complete = std::exchange(pending, {});
        if (complete.type.empty() && complete.data.empty())
            return std::nullopt;
        return complete;
    }
    if (line.front() == ':')
        return std::nullopt;  // a comment
    const auto colon = line.find(':');
    std::string_view value =
        colon == std::string_view::npos ? std::string_view{} : line.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    const std::string_view field = line.substr(0, colon);
    if (pending.data.size() + value.size() > kMaxEventBytes)
        throw ParseError("data", "event exceeds the size limit");
    if (field == "event")
        pending.type = value;
    else if (field == "data")
        pending.data += (pending.data.empty() ? "" : "\n") + std::string(value);
    return std::nullopt;
}

}  // namespace deckcart::platform
