#include "script_line.hpp"

#include <cmath>
#include <sstream>

namespace deckcart::test {

void check(bool holds, const std::string &message) {
    if (!holds)
        throw ScriptFailure(message);
}

Duration seconds(double count) {
    return Duration{std::llround(count * 1e6)};
}

ScriptLine::ScriptLine(const std::string &text) {
    std::istringstream stream(text.substr(0, text.find('#')));
    std::string part;
    while (stream >> part) {
        const auto equals = part.find('=');
        if (equals == std::string::npos)
            words.push_back(part);
        else
            arguments[part.substr(0, equals)] = part.substr(equals + 1);
    }
}

const std::string &ScriptLine::word(std::size_t index) const {
    check(index < words.size(), "word " + std::to_string(index + 1) + " is missing");
    return words[index];
}

std::string ScriptLine::text(const std::string &name, const std::string &defaultValue) const {
    const auto found = arguments.find(name);
    return found == arguments.end() ? defaultValue : found->second;
}

double ScriptLine::number(const std::string &name, double defaultValue) const {
    const auto found = arguments.find(name);
    return found == arguments.end() ? defaultValue : std::stod(found->second);
}

int ScriptLine::integer(const std::string &name, int defaultValue) const {
    return static_cast<int>(number(name, defaultValue));
}

Duration ScriptLine::duration(const std::string &name, double defaultValue) const {
    return seconds(number(name, defaultValue));
}

std::vector<std::string> ScriptLine::argumentNames() const {
    std::vector<std::string> names;
    for (const auto &[name, value] : arguments)
        names.push_back(name);
    return names;
}

bool ScriptLine::matches(const ScriptLine &action) const {
    if (action.words.size() + 1 < words.size())
        return false;
    for (std::size_t index = 1; index < words.size(); ++index) {
        if (action.words[index - 1] != words[index])
            return false;
    }
    for (const auto &[name, value] : arguments) {
        if (name != "least" && name != "most" && action.text(name) != value)
            return false;
    }
    return true;
}

}  // namespace deckcart::test
