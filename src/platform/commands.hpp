// Translates between the platform's RESP2 commands and the gateway's types: a client's command into
// request attributes, a request into the command for an endpoint, an endpoint's reply into an
// outcome. Used by RespDownstream and RespUpstreamPool. Performs no I/O.
#pragma once

#include "../gateway/transport.hpp"
#include "../resp/message.hpp"
#include "../simulator/settings_codec.hpp"

namespace deckcart::platform {

/// Upper bound on a command's key, and on its list of name=value fields.
constexpr std::size_t kMaxArgumentBytes = 4096;

/// A request command as the client sent it. It is forwarded unchanged except for the value of the
/// timeout field ("d"), which is replaced by the remaining time.
struct RequestCommand {
    std::vector<std::string> arguments;
    std::size_t timeoutOffset = 0;  ///< position of the timeout value in the fields argument
    std::size_t timeoutLength = 0;  ///< length of the timeout value in bytes
};

/// The result of parseCommand().
struct ParsedCommand {
    RequestAttributes attributes;
    RequestCommand command;
    /// Text of the error reply; if not empty, the other members are unspecified.
    std::string error;
};

/// Whether the command name is that of a request (Q.ASK or Q.DO). Checks nothing else.
/// @param arguments  at least the command name
bool isRequestCommand(const std::vector<std::string> &arguments);

/// Parses and validates a request command; see isRequestCommand(). Invalid input is reported in
/// ParsedCommand::error.
ParsedCommand parseCommand(std::vector<std::string> arguments,
                           const simulator::DeploymentSettings &settings);

/// Encodes the command for an endpoint.
/// @param remainingTime  time until the client gives up; sent in whole milliseconds, at least 1
std::string forwardedCommand(const RequestCommand &command, Duration remainingTime);

/// The result of parseReply().
struct ParsedReply {
    Outcome outcome = Outcome::error;
    std::string value;  ///< set for Outcome::ok only
};

/// Interprets an endpoint's reply to a request. A reply that is neither an error nor of the
/// expected structure is Outcome::malformed.
ParsedReply parseReply(resp::Value reply);

/// Parses a load report of name=value pairs.
/// @param fields  names of the values to return, in this order; other names are ignored
/// @return empty if the report is malformed or lacks one of the fields
std::vector<double> parseLoadReport(std::string_view report,
                                    const std::vector<std::string> &fields);

}  // namespace deckcart::platform
