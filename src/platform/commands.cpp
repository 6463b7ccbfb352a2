#include "commands.hpp"

#include <algorithm>
#include <cmath>

#include "../base/number.hpp"
#include "../settings/gateway_settings.hpp"
#include "name_value_list.hpp"

namespace deckcart::platform {
namespace {

constexpr std::size_t kMaxIdBytes = 128;
constexpr double kMaxTimeoutMs = 1e9;

// Positions of the arguments in a command; an optional body follows.
constexpr std::size_t kKeyArgument = 1;
constexpr std::size_t kIdArgument = 2;
constexpr std::size_t kFieldsArgument = 3;
constexpr std::size_t kMinArguments = 4;
constexpr std::size_t kMaxArguments = 5;

// Text of an error reply; null if there is no error. Not an exception, because invalid commands may
// arrive at a high rate.
using ErrorText = const char *;

// The name=value fields of a command that the gateway reads, as views into the argument. A name
// without a member here is forwarded without being interpreted.
struct RequestFields {
    std::optional<std::string_view> route;
    std::optional<std::string_view> tenant;
    std::optional<std::string_view> clientTimeout;
    std::optional<std::string_view> idempotencyKey;

    std::optional<std::string_view> *find(std::string_view name) {
        if (name == "c")
            return &route;
        if (name == "t")
            return &tenant;
        if (name == "d")
            return &clientTimeout;
        if (name == "k")
            return &idempotencyKey;
        return nullptr;
    }
};

// Accepts no exponent.
std::optional<double> parseDecimal(std::string_view text) {
    return parseNumber(text, std::chars_format::fixed);
}

ErrorText checkArguments(const std::vector<std::string> &arguments) {
    if (arguments.size() < kMinArguments || arguments.size() > kMaxArguments)
        return "wrong number of arguments";
    if (arguments[kKeyArgument].size() > kMaxArgumentBytes)
        return "the key is too long";
    if (arguments[kIdArgument].empty() || arguments[kIdArgument].size() > kMaxIdBytes)
        return "no id, or a longer one than ids are";
    if (arguments[kFieldsArgument].size() > kMaxArgumentBytes)
        return "the list of names and values is too long";
    return nullptr;
}

ErrorText parseFields(std::string_view text, RequestFields &requestFields) {
    ErrorText error = "a name without a value";
    const bool wellFormed =
        forEachNameValue(text, ',', [&](std::string_view name, std::string_view value) {
            auto *field = requestFields.find(name);
            if (!field)
                return true;  // unknown fields are forwarded unchanged
            if (*field) {
                error = "a name stands twice";
                return false;
            }
            *field = value;
            return true;
        });
    if (!wellFormed)
        return error;
    if (!requestFields.route || !requestFields.clientTimeout)
        return "no class, or no time to wait";
    return nullptr;
}

ErrorText parseAttributes(const RequestFields &requestFields, bool isIdempotentCommand,
                          const simulator::DeploymentSettings &settings,
                          RequestAttributes &attributes) {
    const auto route = std::ranges::find(settings.routes, *requestFields.route);
    if (route == settings.routes.end())
        return "no such class";
    attributes.route = std::size_t(route - settings.routes.begin());
    const Idempotency idempotency = settings.policy.routes[attributes.route].idempotency;
    if (isIdempotentCommand != (idempotency == Idempotency::idempotent))
        return "not the command of this class";
    const bool hasKey = requestFields.idempotencyKey && !requestFields.idempotencyKey->empty();
    if (idempotency == Idempotency::withKey && !hasKey)
        return "no mark against repeats";
    const auto timeoutMs = parseDecimal(*requestFields.clientTimeout);
    if (!timeoutMs || *timeoutMs < 0 || *timeoutMs > kMaxTimeoutMs)
        return "the time to wait is no number";
    const Duration clientTimeout{std::llround(*timeoutMs * 1000)};
    attributes.timeout = std::min(settings.routeTimeouts[attributes.route], clientTimeout);
    if (requestFields.tenant)
        attributes.tenant = tenantIndex(settings.tenants, *requestFields.tenant);
    return nullptr;
}

}  // namespace

bool isRequestCommand(const std::vector<std::string> &arguments) {
    return arguments[0] == "Q.ASK" || arguments[0] == "Q.DO";
}

ParsedCommand parseCommand(std::vector<std::string> arguments,
                           const simulator::DeploymentSettings &settings) {
    ParsedCommand parsed;
    RequestFields requestFields;
    ErrorText error = checkArguments(arguments);
    if (!error)
        error = parseFields(arguments[kFieldsArgument], requestFields);
    if (!error)
        error =
            parseAttributes(requestFields, arguments[0] == "Q.ASK", settings, parsed.attributes);
    if (error) {
        parsed.error = std::string("ERR ") + error;
        return parsed;
    }
    parsed.command.timeoutOffset =
        std::size_t(requestFields.clientTimeout->data() - arguments[kFieldsArgument].data());
    parsed.command.timeoutLength = requestFields.clientTimeout->size();
    parsed.attributes.key = arguments[kKeyArgument];
    parsed.attributes.requestId = arguments[kIdArgument];
    parsed.command.arguments = std::move(arguments);
    return parsed;
}

std::string forwardedCommand(const RequestCommand &command, Duration remainingTime) {
    std::vector<std::string> arguments = command.arguments;
    const auto remainingMs = std::max<std::int64_t>(1, remainingTime.count() / 1000);
    arguments[kFieldsArgument].replace(command.timeoutOffset, command.timeoutLength,
                                       std::to_string(remainingMs));
    return resp::command(arguments);
}

ParsedReply parseReply(resp::Value reply) {
    using Kind = resp::Value::Kind;
    if (reply.kind == Kind::error) {
        const bool overloaded = reply.text == "BUSY" || reply.text.starts_with("BUSY ");
        return {overloaded ? Outcome::overloaded : Outcome::error, {}};
    }
    // A success reply has three items: the value, null, and the load report or null.
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
    const bool wellFormed =
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
    if (!wellFormed || std::ranges::find(present, false) != present.end())
        return {};
    return load;
}

}  // namespace deckcart::platform
