#include "host.hpp"

#include <deckcart/policy.hpp>
#include <iostream>

#include "action_codec.hpp"
#include "event_codec.hpp"
#include "json_fields.hpp"

namespace deckcart::simulator {
namespace {

using nlohmann::json;

constexpr int kBadInput = 2;

// A policy that throws ends its gateway's batch, not the simulation.
void decide(Policy &policy, TimePoint now, const GatewayEvents &happened, json &commands) {
    try {
        for (const auto &action : policy.decide(happened.gateway, now, happened.events))
            commands.push_back(writeAction(happened.gateway, action));
    } catch (const std::exception &failure) {
        commands.push_back(
            {{"m", "EXCEPTION"}, {"Who", happened.gateway}, {"Words", failure.what()}});
    }
}

}  // namespace

int serve(std::istream &input, std::ostream &output, std::ostream &errors) {
    EventReader reader;
    Policy policy;
    std::string line;
    for (std::size_t number = 1; std::getline(input, line); ++number) {
        if (line.empty())
            continue;
        Batch batch;
        try {
            batch = reader.read(line);
        } catch (const MalformedInput &problem) {
            errors << "deckcart_wirehost: line " << number << ": " << problem.what() << '\n';
            return kBadInput;
        }
        json commands = json::array();
        for (const auto &happened : batch.gateways)
            decide(policy, batch.now, happened, commands);
        output << json{{"cmds", std::move(commands)}}.dump() << '\n' << std::flush;
    }
    return 0;
}

}  // namespace deckcart::simulator
