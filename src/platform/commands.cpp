#include "commands.hpp"

#include <algorithm>
#include <cmath>

#include "../base/number.hpp"
#include "../settings/gateway_settings.hpp"
#include "name_value_list.hpp"

namespace deckcart::platform {
namespace {

constexpr std::size_t kMaxIdBytes = 128;
constexpr double kMaxWaitMs = 1e9;

// Where the parts stand in a command; a body may follow.
constexpr std::size_t kKeyArgument = 1;
constexpr std::size_t kIdArgument = 2;
constexpr std::size_t kListArgument = 3;
constexpr std::size_t kLeastArguments = 4;
constexpr std::size_t kMaxArguments = 5;

// The text of an error; null: there is none. Not an exception, as floods of bad commands come.
using ErrorText = const char *;

// The list of names and values of a command. Views into the argument.
struct RequestList {
    std::optional<std::string_view> route;
    std::optional<std::string_view> tenant;
    std::optional<std::string_view> wait;
    std::optional<std::string_view> idempotencyKey;

    std::optional<std::string_view> *named(std::string_view name) {
        if (name == "c")
            return &route;
        if (name == "t")
            return &tenant;
        if (name == "d")
            return &wait;
        if (name == "k")
            return &idempotencyKey;
        return nullptr;
    }
};

// Digits, without an exponent.
std::optional<double> parseDecimal(std::string_view text) {
    return wholeNumber(text, std::chars_format::fixed);
}

ErrorText checkArguments(const std::vector<std::string> &arguments) {
    if (arguments.size() < kLeastArguments || arguments.size() > kMaxArguments)
        return "wrong number of arguments";
    if (arguments[kKeyArgument].size() > kMaxArgumentBytes)
        return "the key is too long";
    if (arguments[kIdArgument].empty() || arguments[kIdArgument].size() > kMaxIdBytes)
        return "no id, or a longer one than ids are";
    if (arguments[kListArgument].size() > kMaxArgumentBytes)
        return "the list of names and values is too long";
    return nullptr;
}

ErrorText parseList(std::string_view text, RequestList &list) {
    ErrorText error = "a name without a value";
    const bool paired =
        forEachNameValue(text, ',', [&](std::string_view name, std::string_view value) {
            auto *field = list.named(name);
            if (!field)
                return true;  // others are forwarded as they are
            if (*field) {
                error = "a name stands twice";
                return false;
            }
            *field = value;
            return true;
        });
    if (!paired)
        return error;
    if (!list.route || !list.wait)
        return "no class, or no time to wait";
    return nullptr;
}

ErrorText parseAttributes(const RequestList &list, bool isAsk,
                          const simulator::DeploymentSettings &settings,
                          RequestAttributes &attributes) {
    const auto route = std::ranges::find(settings.routes, *list.route);
    if (route == settings.routes.end())
        return "no such class";
    attributes.route = std::size_t(route - settings.routes.begin());
    const Idempotency idempotency = settings.start.routes[attributes.route].idempotency;
    if (isAsk != (idempotency == Idempotency::idempotent))
        return "not the command of this class";
    const bool hasKey = list.idempotencyKey && !list.idempotencyKey->empty();
    if (idempotency == Idempotency::withKey && !hasKey)
        return "no mark against repeats";
    const auto waitMs = parseDecimal(*list.wait);
    if (!waitMs || *waitMs < 0 || *waitMs > kMaxWaitMs)
        return "the time to wait is no number";
    const Duration wait{std::llround(*waitMs * 1000)};
    attributes.wait = std::min(settings.routeTimeouts[attributes.route], wait);
    if (list.tenant)
        attributes.tenant = tenantIndex(settings.tenants, *list.tenant);
    return nullptr;
}

}  // namespace

bool isRequestCommand(const std::vector<std::string> &arguments) {
    return arguments[0] == "Q.ASK" || arguments[0] == "Q.DO";
}

ParsedCommand parseCommand(std::vector<std::string> arguments,
                           const simulator::DeploymentSettings &settings) {
    ParsedCommand parsed;
    RequestList list;
    ErrorText error = checkArguments(arguments);
    if (!error)
        error = parseList(arguments[kListArgument], list);
    if (!error)
        error = parseAttributes(list, arguments[0] == "Q.ASK", settings, parsed.attributes);
    if (error) {
        parsed.error = std::string("ERR ") + error;
        return parsed;
    }
    parsed.command.waitOffset = std::size_t(list.wait->data() - arguments[kListArgument].data());
    parsed.command.waitLength = list.wait->size();
    parsed.attributes.key = arguments[kKeyArgument];
    parsed.attributes.name = arguments[kIdArgument];
    parsed.command.arguments = std::move(arguments);
    return parsed;
}

std::string forwardedCommand(const Command &command, Duration wait) {
    std::vector<std::string> arguments = command.arguments;
    const auto waitMs = std::max<std::int64_t>(1, wait.count() / 1000);
    arguments[kListArgument].replace(command.waitOffset, command.waitLength,
                                     std::to_string(waitMs));
    return resp::command(arguments);
}

ParsedReply parseReply(resp::Value reply) {
    using Kind = resp::Value::Kind;
    if (reply.kind == Kind::error) {
        const bool overloaded = reply.text == "BUSY" || reply.text.starts_with("BUSY ");
        return {overloaded ? Outcome::overloaded : Outcome::error, {}};
    }
    // The value, null, the load report or null.
    const bool wellFormed =
        reply.kind == Kind::array && reply.items.size() == 3 && reply.items[0] && !reply.items[1];
    if (!wellFormed)
        return {Outcome::malformed, {}};
    return {Outcome::ok, std::move(*reply.items[0])};
}

std::vector<double> parseLoadReport(std::string_view report,
                                    const std::vector<std::string> &fields) {
    std::vector<double> load(fields.size());
    std::vector<bool> present(fields.size());
    const bool readable =
        forEachNameValue(report, ',', [&](std::string_view name, std::string_view text) {
            const auto value = parseDecimal(text);
            if (!value || *value < 0)
                return false;
            const auto index = std::size_t(std::ranges::find(fields, name) - fields.begin());
            if (index < fields.size()) {
                load[index] = *value;
                present[index] = true;
            }
            return true;
        });
    if (!readable || std::ranges::find(present, false) != present.end())
        return {};
    return load;
}

}  // namespace deckcart::platform
