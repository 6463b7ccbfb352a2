#include "commands.hpp"

#include <algorithm>
#include <cmath>

#include "../base/number.hpp"
#include "../settings/gateway_settings.hpp"
#include "pairs.hpp"

namespace deckcart::platform {
namespace {

constexpr std::size_t kMostId = 128;
constexpr double kMostWaitMs = 1e9;

// Digits, without an exponent.
std::optional<double> plainNumber(std::string_view text) {
    return wholeNumber(text, std::chars_format::fixed);
}

}  // namespace

bool isRequestCommand(const std::vector<std::string> &args) {
    return args[0] == "Q.ASK" || args[0] == "Q.DO";
}

CommandRead readCommand(std::vector<std::string> args,
                        const simulator::DeploymentSettings &settings) {
    CommandRead out;
    const auto refuse = [&](const char *words) {
        out.refusal = std::string("ERR ") + words;
        return out;
    };
    const bool asks = args[0] == "Q.ASK";
    if (args.size() < 4 || args.size() > 5)
        return refuse("wrong number of arguments");
    if (args[1].size() > kMostWords)
        return refuse("the key is too long");
    if (args[2].empty() || args[2].size() > kMostId)
        return refuse("no id, or a longer one than ids are");
    if (args[3].size() > kMostWords)
        return refuse("the list of names and values is too long");
    std::optional<std::string_view> route, tenant, wait, repeat;
    const char *odd = "a name without a value";
    const bool paired = eachPair(args[3], ',', [&](std::string_view name, std::string_view value) {
        auto *into = name == "c"   ? &route
                     : name == "t" ? &tenant
                     : name == "d" ? &wait
                     : name == "k" ? &repeat
                                   : nullptr;
        if (into && *into)
            return odd = "a name stands twice", false;
        if (into)
            *into = value;
        return true;
    });
    if (!paired)
        return refuse(odd);
    if (!route || !wait)
        return refuse("no class, or no time to wait");
    const auto named = std::ranges::find(settings.routes, *route);
    if (named == settings.routes.end())
        return refuse("no such class");
    out.attributes.route = std::size_t(named - settings.routes.begin());
    const Idempotency effect = settings.start.routes[out.attributes.route].idempotency;
    if (asks != (effect == Idempotency::idempotent))
        return refuse("not the command of this class");
    if (effect == Idempotency::withKey && (!repeat || repeat->empty()))
        return refuse("no mark against repeats");
    const auto ms = plainNumber(*wait);
    if (!ms || *ms < 0 || *ms > kMostWaitMs)
        return refuse("the time to wait is no number");
    out.attributes.wait =
        std::min(settings.routeTimeouts[out.attributes.route], Duration{std::llround(*ms * 1000)});
    if (tenant)
        out.attributes.tenant = tenantIndex(settings.tenants, *tenant);
    out.command.waitAt = std::size_t(wait->data() - args[3].data()),
    out.command.waitLength = wait->size();
    out.attributes.key = args[1], out.attributes.name = args[2];
    out.command.args = std::move(args);
    return out;
}

std::string instanceCommand(const Command &from, Duration wait) {
    std::vector<std::string> args = from.args;
    args[3].replace(from.waitAt, from.waitLength,
                    std::to_string(std::max<std::int64_t>(1, wait.count() / 1000)));
    return resp::command(args);
}

ReplyRead readReply(resp::Value reply) {
    using Kind = resp::Value::Kind;
    if (reply.kind == Kind::error)
        return {reply.text == "BUSY" || reply.text.starts_with("BUSY ") ? Outcome::overloaded
                                                                        : Outcome::error,
                {}};
    // The value, null, the load report or null.
    const bool shaped =
        reply.kind == Kind::array && reply.items.size() == 3 && reply.items[0] && !reply.items[1];
    if (!shaped)
        return {Outcome::malformed, {}};
    return {Outcome::ok, std::move(*reply.items[0])};
}

std::vector<double> readLoad(std::string_view report, const std::vector<std::string> &fields) {
    std::vector<double> out(fields.size());
    std::vector<bool> seen(fields.size());
    const bool paired = eachPair(report, ',', [&](std::string_view name, std::string_view text) {
        const auto value = plainNumber(text);
        if (!value || *value < 0)
            return false;
        const auto at = std::size_t(std::ranges::find(fields, name) - fields.begin());
        if (at < fields.size())
            out[at] = *value, seen[at] = true;
        return true;
    });
    if (!paired)
        return {};
    return std::ranges::find(seen, false) == seen.end() ? out : std::vector<double>{};
}

}  // namespace deckcart::platform
