// Any bytes as RESP2 commands and replies, whole and in two parts: both must read alike, within the
// limits, and what is a client's command or an instance's reply is read on.
#include <cstdlib>

#include "../src/platform/commands.hpp"

using namespace deckcart;

namespace {
void demand(bool condition) {
    if (!condition)
        std::abort();
}

constexpr resp::Limits kLimits{8, 64, 128, 48};

std::vector<resp::Value> readAll(resp::Parser::What what, std::string_view bytes, std::size_t cut,
                                 std::string &fault) {
    resp::Parser parser(what, kLimits);
    std::vector<resp::Value> values;
    for (std::string_view part : {bytes.substr(0, cut), bytes.substr(cut)})
        while (!part.empty() && !parser.faulty()) {
            part.remove_prefix(parser.feed(part));
            demand(parser.held() <= kLimits.totalBytes);
            if (parser.done())
                values.push_back(parser.take());
        }
    fault = parser.fault();
    return values;
}

// The same whole and in two parts, within the limits.
std::vector<resp::Value> readAlike(resp::Parser::What what, std::string_view input) {
    std::string faultOfWhole;
    std::string faultOfParts;
    auto whole = readAll(what, input, 0, faultOfWhole);
    const auto parts = readAll(what, input, input.size() / 2, faultOfParts);
    demand(faultOfWhole == faultOfParts && whole.size() == parts.size());
    for (std::size_t index = 0; index < whole.size(); ++index) {
        const resp::Value &value = whole[index];
        const resp::Value &other = parts[index];
        demand(value.kind == other.kind && value.text == other.text && value.items == other.items);
        demand(value.items.size() <= kLimits.items && value.text.size() <= kLimits.bulkBytes);
    }
    return whole;
}

// A command that is taken goes on to an endpoint, within what one may be long.
void readOn(const resp::Value &command, const simulator::DeploymentSettings &settings) {
    constexpr std::size_t kMaxEndpointCommandBytes = 400;
    std::vector<std::string> args;
    for (const auto &item : command.items)
        args.push_back(*item);
    const auto read = platform::parseCommand(args, settings);
    if (!read.error.empty())
        return;
    const std::string sent = platform::forwardedCommand(read.command, std::chrono::seconds(1));
    demand(sent.size() < kMaxEndpointCommandBytes);
}

}  // namespace

// The name is prescribed by libFuzzer. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *bytes, std::size_t size) {
    const std::string_view input(reinterpret_cast<const char *>(bytes), size);
    simulator::DeploymentSettings settings;
    settings.policy.routes.resize(1);
    settings.routes = {"any"};
    settings.routeTimeouts = {std::chrono::seconds(1)};
    for (const resp::Value &command : readAlike(resp::Parser::What::command, input))
        readOn(command, settings);
    for (const resp::Value &reply : readAlike(resp::Parser::What::reply, input))
        platform::parseReply(reply);
    return 0;
}
