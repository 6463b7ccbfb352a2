// The platform's commands and replies in terms of the gateway: a client's command to a request's
// attributes, a request to an endpoint's command, an endpoint's reply to an outcome. Called by the
// downstream and the upstream pool. Pure.
#pragma once

#include "../gateway/transport.hpp"
#include "../resp/message.hpp"
#include "../simulator/settings_codec.hpp"

namespace deckcart::platform {

/// Of a command's key, and of its list of names and values.
constexpr std::size_t kMaxArgumentBytes = 4096;

/// A command as the client sent it. Key, id and body are forwarded unchanged, and so is the list of
/// names and values but for the time to wait.
struct Command {
    std::vector<std::string> arguments;
    std::size_t waitOffset = 0;  ///< where the time to wait stands in the list
    std::size_t waitLength = 0;
};

struct ParsedCommand {
    RequestAttributes attributes;
    Command command;
    std::string error;  ///< not empty: the text of the error reply; the others mean nothing
};

/// Whether it is one of the platform's requests, whatever else may be wrong with it.
/// @param arguments  at least the command's name
bool isRequestCommand(const std::vector<std::string> &arguments);

/// Reads and checks a request command; see isRequestCommand().
ParsedCommand parseCommand(std::vector<std::string> arguments,
                           const simulator::DeploymentSettings &settings);

/// The command's bytes for an endpoint. `wait`: what is left of the client's time, sent as whole
/// milliseconds, at least one.
std::string forwardedCommand(const Command &command, Duration wait);

struct ParsedReply {
    Outcome outcome = Outcome::error;
    std::string value;
};

/// Reads an endpoint's reply to a request. A reply of another shape is Outcome::malformed.
ParsedReply parseReply(resp::Value reply);

/// Reads a load report: the numbers in the order of `fields`. Empty where it can't be read or lacks
/// one of them.
std::vector<double> parseLoadReport(std::string_view report,
                                    const std::vector<std::string> &fields);

}  // namespace deckcart::platform
