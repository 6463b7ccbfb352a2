// Runs policy scripts. Each line delivers an event to the policy, changes how endpoints behave, or
// checks the policy's actions. At the end the invariant checker applies the five rules to all that
// was recorded. tests/README.md describes the notation.
//
//   policy_script_runner FILE              the whole file
//   policy_script_runner FILE SECTION...   these sections, in this order, on one gateway
#include <fstream>
#include <iostream>

#include "script_verbs.hpp"

namespace deckcart::test {
namespace {

// Simulated after the last line, so that all requests in flight reach their deadlines.
constexpr Duration kDrainTime = std::chrono::seconds(10);

// Throws a ScriptFailure that begins with the file and line number.
void executeLine(const std::string &text, const std::string &place, SimulatedGateway &gateway) {
    try {
        execute(ScriptLine(text), gateway);
    } catch (const std::exception &failure) {
        throw ScriptFailure(place + ": " + text + "\n" + failure.what());
    }
}

// Executes one section, which begins at a line [name]; with an empty name, the whole file.
void executeFile(const std::string &file, const std::string &section, SimulatedGateway &gateway) {
    std::ifstream stream(file);
    check(stream.good(), file + ": can't be read");
    bool inSection = section.empty();
    bool found = inSection;
    std::string text;
    for (int number = 1; std::getline(stream, text); ++number) {
        const ScriptLine line(text);
        if (line.empty())
            continue;
        if (line.word(0).starts_with("[")) {
            inSection = line.word(0) == "[" + section + "]";
            found = found || inSection;
        } else if (inSection)
            executeLine(text, file + ":" + std::to_string(number), gateway);
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
            executeFile(arguments[0], "", gateway);
        for (std::size_t index = 1; index < arguments.size(); ++index)
            executeFile(arguments[0], arguments[index], gateway);
        gateway.advance(kDrainTime);
        gateway.checkInvariants();
    } catch (const std::exception &failure) {
        std::cerr << failure.what() << '\n';
        return 1;
    }
    return 0;
}
