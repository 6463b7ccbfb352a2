// Parses the command line and runs the subcommand.
#include "api_commands.hpp"
#include "gateway_command.hpp"
#include "scenario_command.hpp"

int main(int argc, char **argv) {
    using namespace deckcart::cli;
    CLI::App program{
        "deckcart: a release controller with the router that shifts traffic between builds"};
    program.require_subcommand(1);
    std::vector<Command> commands{addGatewayCommand(program)};
    for (auto &command : addApiCommands(program))
        commands.push_back(std::move(command));
    for (auto &command : addScenarioCommands(program))
        commands.push_back(std::move(command));
    try {
        program.parse(argc, argv);
    } catch (const CLI::ParseError &result) {  // also thrown for --help
        return program.exit(result) == 0 ? kDone : kBadInput;
    }
    for (const auto &command : commands) {
        if (command.app->parsed())
            return command.run();
    }
    return kBadInput;
}
