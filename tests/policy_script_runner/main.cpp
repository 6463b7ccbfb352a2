// Plays policy scripts: a line says what happens, or what must (not) have been done. Whatever
// crossed is judged by the five rules at the end. tests/README.md describes the notation.
//
//   policy_script_runner FILE              the whole file
//   policy_script_runner FILE SECTION...   these sections, one after the other in one gateway
#include <fstream>
#include <iostream>

#include "script_verbs.hpp"

namespace deckcart::test {
namespace {

// After the last line: what is in flight ends by its deadline.
constexpr Duration kClosingTime = std::chrono::seconds(10);

// @throws ScriptFailure that begins with the place of the line at fault
void playLine(const std::string &text, const std::string &place, SimulatedGateway &gateway) {
    try {
        play(ScriptLine(text), gateway);
    } catch (const std::exception &failure) {
        throw ScriptFailure(place + ": " + text + "\n" + failure.what());
    }
}

// A line that begins with [name] opens a section. An empty section stands for the whole file.
void playFile(const std::string &file, const std::string &section, SimulatedGateway &gateway) {
    std::ifstream in(file);
    check(in.good(), file + ": can't be read");
    bool inSection = section.empty();
    bool found = inSection;
    std::string text;
    for (int number = 1; std::getline(in, text); ++number) {
        const ScriptLine line(text);
        if (line.empty())
            continue;
        if (line.word(0).starts_with("[")) {
            inSection = line.word(0) == "[" + section + "]";
            found = found || inSection;
        } else if (inSection)
            playLine(text, file + ":" + std::to_string(number), gateway);
    }
    check(found, file + ": there is no section " + section);
}

}  // namespace
}  // namespace deckcart::test

int main(int argc, char **argv) {
    using namespace deckcart::test;
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (arguments.empty()) {
        std::cerr << "usage: policy_script_runner FILE [SECTION...]\n";
        return 2;
    }
    try {
        SimulatedGateway gateway;
        if (arguments.size() == 1)
            playFile(arguments[0], "", gateway);
        for (std::size_t index = 1; index < arguments.size(); ++index)
            playFile(arguments[0], arguments[index], gateway);
        gateway.advance(kClosingTime);
        gateway.checkInvariants();
    } catch (const std::exception &failure) {
        std::cerr << failure.what() << '\n';
        return 1;
    }
    return 0;
}
