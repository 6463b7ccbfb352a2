// The platform's commands and replies in terms of the gateway: a client's command to a request's
// facts, a request to an instance's command, an instance's reply to an outcome. Pure.
#pragma once

#include "../gateway/transport.hpp"
#include "../resp/message.hpp"
#include "documents.hpp"

namespace deckcart::platform {

constexpr std::size_t kMostWords = 4096;  // of a key, and of a list

// A command as the client sent it: key, id and body pass on unchanged, and the list but for the
// wait.
struct Command {
    std::vector<std::string> args;
    std::size_t waitAt = 0, waitLength = 0;  // where the wait's figure stands in the list
};
struct CommandRead {
    RequestAttributes attributes;
    Command command;
    std::string refusal;  // not empty: the words of an error, and the others mean nothing
};
CommandRead readCommand(std::vector<std::string> args,
                        const simulator::DeploymentSettings &settings);
bool isRequestCommand(const std::vector<std::string> &args);

std::string instanceCommand(const Command &from, Duration wait);

struct ReplyRead {
    Outcome outcome = Outcome::error;
    std::string value;
};
ReplyRead readReply(resp::Value reply);
// Figures in the order of the fields; empty where it can't be read.
std::vector<double> readLoad(std::string_view report, const std::vector<std::string> &fields);

}  // namespace deckcart::platform
