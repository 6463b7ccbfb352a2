#include "commands.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace deckcart::platform {
namespace {

constexpr std::size_t kMostId = 128, kMostKey = 4096, kMostList = 4096;
constexpr double kMostWaitMs = 1e9;

std::optional<double> whole(std::string_view text) {
    double n = 0;
    const auto [end, fault] =
        std::from_chars(text.data(), text.data() + text.size(), n, std::chars_format::fixed);
    if (fault != std::errc{} || end != text.data() + text.size() || !std::isfinite(n)) return std::nullopt;
    return n;
}

}  // namespace

bool asksForReq(const std::vector<std::string> &args) { return args[0] == "Q.ASK" || args[0] == "Q.DO"; }

CommandRead readCommand(std::vector<std::string> args, const wire::BirthSettings &settings) {
    CommandRead out;
    const auto refuse = [&](const char *words) {
        out.refusal = std::string("ERR ") + words;
        return out;
    };
    const bool asks = args[0] == "Q.ASK";
    if (args.size() < 4 || args.size() > 5) return refuse("wrong number of arguments");
    if (args[1].size() > kMostKey) return refuse("the key is too long");
    if (args[2].empty() || args[2].size() > kMostId) return refuse("no id, or a longer one than ids are");
    if (args[3].size() > kMostList) return refuse("the list of names and values is too long");
    std::string_view rest = args[3];
    std::optional<std::string_view> route, account, wait, repeat;
    while (!rest.empty()) {
        const auto part = rest.substr(0, rest.find(','));
        const auto at = part.find('=');
        if (at == std::string_view::npos) return refuse("a name without a value");
        const auto name = part.substr(0, at), value = part.substr(at + 1);
        auto *into = name == "c"   ? &route
                     : name == "t" ? &account
                     : name == "d" ? &wait
                     : name == "k" ? &repeat
                                   : nullptr;
        if (into && *into) return refuse("a name stands twice");
        if (into) *into = value;
        if (into == &wait)
            out.command.waitAt = std::size_t(value.data() - args[3].data()),
            out.command.waitLength = value.size();
        rest.remove_prefix(std::min(rest.size(), part.size() + 1));
    }
    if (!route || !wait) return refuse("no class, or no time to wait");
    const auto named = std::ranges::find(settings.routes, *route);
    if (named == settings.routes.end()) return refuse("no such class");
    out.facts.route = std::size_t(named - settings.routes.begin());
    const Effect effect = settings.start.routes[out.facts.route].effect;
    if (asks != (effect == Effect::retriable)) return refuse("not the command of this class");
    if (effect == Effect::deduped && (!repeat || repeat->empty())) return refuse("no mark against repeats");
    const auto ms = whole(*wait);
    if (!ms || *ms < 0 || *ms > kMostWaitMs) return refuse("the time to wait is no number");
    out.facts.wait = std::min(settings.routeTimeouts[out.facts.route], Span{std::llround(*ms * 1000)});
    if (account) {
        // One that is not named is past the end of the shares: it has none, and no excess either.
        const auto known = std::ranges::find(settings.accounts, *account);
        if (!settings.accounts.empty()) out.facts.account = int(known - settings.accounts.begin());
    }
    out.facts.key = args[1], out.facts.name = args[2];
    out.command.args = std::move(args);
    return out;
}

std::string instanceCommand(const Command &from, Span wait) {
    std::vector<std::string> args = from.args;
    args[3].replace(from.waitAt, from.waitLength,
                    std::to_string(std::max<std::int64_t>(1, wait.count() / 1000)));
    return resp::command(args);
}

ReplyRead readReply(resp::Value reply) {
    using Kind = resp::Value::Kind;
    if (reply.kind == Kind::error)
        return {reply.text == "BUSY" || reply.text.starts_with("BUSY ") ? Outcome::full : Outcome::error, {}};
    // The value, null, the load report or null.
    const bool shaped =
        reply.kind == Kind::array && reply.items.size() == 3 && reply.items[0] && !reply.items[1];
    if (!shaped) return {Outcome::unreadable, {}};
    return {Outcome::ok, std::move(*reply.items[0])};
}

std::vector<double> readLoad(std::string_view report, const std::vector<std::string> &fields) {
    std::vector<double> out(fields.size());
    std::vector<bool> seen(fields.size());
    while (!report.empty()) {
        const auto part = report.substr(0, report.find(','));
        report.remove_prefix(std::min(report.size(), part.size() + 1));
        const auto at = part.find('=');
        if (at == std::string_view::npos) return {};
        const auto value = whole(part.substr(at + 1));
        if (!value || *value < 0) return {};
        const auto field = std::ranges::find(fields, part.substr(0, at));
        if (field != fields.end())
            out[std::size_t(field - fields.begin())] = *value,
                                    seen[std::size_t(field - fields.begin())] = true;
    }
    return std::ranges::find(seen, false) == seen.end() ? out : std::vector<double>{};
}

}  // namespace deckcart::platform
