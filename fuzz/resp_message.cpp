// Fuzz target: parses arbitrary bytes as RESP2 commands and as replies, whole and in two parts.
// Both ways must give the same result within the limits. Valid commands and replies are then
// processed as those of a client and of an endpoint.
#include <cstdlib>

#include "../src/platform/commands.hpp"

using namespace deckcart;

namespace {
void require(bool condition) {
    if (!condition)
        std::abort();
}

constexpr resp::Limits kLimits{8, 64, 128, 48};

std::vector<resp::Value> parseAll(resp::Parser::What type, std::string_view bytes,
                                  std::size_t splitAt, std::string &fault) {
    resp::Parser parser(type, kLimits);
    std::vector<resp::Value> values;
    for (std::string_view part : {bytes.substr(0, splitAt), bytes.substr(splitAt)})
        while (!part.empty() && !parser.faulty()) {
            part.remove_prefix(parser.feed(part));
            require(parser.bufferedBytes() <= kLimits.totalBytes);
            if (parser.done())
                values.push_back(parser.take());
        }
    fault = parser.fault();
    return values;
}

// Parses the input whole and in two parts and requires equal results within the limits.
std::vector<resp::Value> parseBothWays(resp::Parser::What type, std::string_view input) {
    std::string faultOfWhole;
    std::string faultOfParts;
    auto whole = parseAll(type, input, 0, faultOfWhole);
    const auto parts = parseAll(type, input, input.size() / 2, faultOfParts);
    require(faultOfWhole == faultOfParts && whole.size() == parts.size());
    for (std::size_t index = 0; index < whole.size(); ++index) {
        const resp::Value &value = whole[index];
        const resp::Value &other = parts[index];
        require(value.kind == other.kind && value.text == other.text && value.items == other.items);
        require(value.items.size() <= kLimits.items && value.text.size() <= kLimits.bulkBytes);
    }
    return whole;
}

// Processes a command of a client. If it is valid, the command forwarded to an endpoint must not
// exceed its maximum length.
void processCommand(const resp::Value &command, const simulator::DeploymentSettings &settings) {
    constexpr std::size_t kMaxEndpointCommandBytes = 400;
    std::vector<std::string> args;
    for (const auto &item : command.items)
        args.push_back(*item);
    const auto parsed = platform::parseCommand(args, settings);
    if (!parsed.error.empty())
        return;
    const std::string forwarded =
        platform::forwardedCommand(parsed.command, std::chrono::seconds(1));
    require(forwarded.size() < kMaxEndpointCommandBytes);
}

}  // namespace

// libFuzzer requires this name. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *bytes, std::size_t size) {
    const std::string_view input(reinterpret_cast<const char *>(bytes), size);
    simulator::DeploymentSettings settings;
    settings.policy.routes.resize(1);
    settings.routes = {"any"};
    settings.routeTimeouts = {std::chrono::seconds(1)};
    for (const resp::Value &command : parseBothWays(resp::Parser::What::command, input))
        processCommand(command, settings);
    for (const resp::Value &reply : parseBothWays(resp::Parser::What::reply, input))
        platform::parseReply(reply);
    return 0;
}
