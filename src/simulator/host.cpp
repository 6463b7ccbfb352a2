#include "host.hpp"

#include <deckcart/policy.hpp>
#include <iostream>

#include "action_codec.hpp"
#include "event_codec.hpp"
#include "json_fields.hpp"

namespace deckcart::simulator {
namespace {

using nlohmann::json;

constexpr int kExitBadInput = 2;

// An exception of the policy aborts the batch of its gateway, not the simulation; it is reported as
// a command.
void decide(Policy &policy, TimePoint now, const GatewayEvents &gatewayEvents, json &commands) {
    try {
        for (const auto &action : policy.decide(gatewayEvents.gateway, now, gatewayEvents.events))
            commands.push_back(writeAction(gatewayEvents.gateway, action));
    } catch (const std::exception &error) {
        commands.push_back(
            {{"m", "EXCEPTION"}, {"Who", gatewayEvents.gateway}, {"Words", error.what()}});
    }
}

}  // namespace

int serve(std::istream &input, std::ostream &output, std::ostream &errors) {
    EventReader reader;
    Policy policy;
    std::string line;
    for (std::size_t lineNumber = 1; std::getline(input, line); ++lineNumber) {
        if (line.empty())
            continue;
        Batch batch;
        try {
            batch = reader.read(line);
        } catch (const MalformedInput &error) {
            errors << "deckcart_wirehost: line " << lineNumber << ": " << error.what() << '\n';
            return kExitBadInput;
        }
        json commands = json::array();
        for (const auto &gatewayEvents : batch.gateways)
            decide(policy, batch.now, gatewayEvents, commands);
        output << json{{"cmds", std::move(commands)}}.dump() << '\n' << std::flush;
    }
    return 0;
}

}  // namespace deckcart::simulator
