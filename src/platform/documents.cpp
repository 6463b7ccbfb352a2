#include "documents.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <pugixml.hpp>
#include <set>
#include <stdexcept>

#include "../base/address.hpp"
#include "../base/number.hpp"
#include "../gateway/transport.hpp"
#include "pairs.hpp"

namespace deckcart::platform {
namespace {

using nlohmann::json;

constexpr std::size_t kMostMembers = 20000;  // of a list: beyond it is no list of a site
constexpr int kMostBuild = 65535,
              kMostStage = 1000;     // builds as the platform states them; stages: of any site
constexpr double kMostLagMs = 1e12;  // some thirty years
constexpr std::size_t kMostEvent = 64 * 1024;

[[noreturn]] void bad(const std::string &place, const std::string &what) {
    throw std::invalid_argument("field " + place + " " + what);
}

const json &need(const json &from, const char *name, const std::string &at = {}) {
    if (!from.is_object())
        bad(at.empty() ? name : at, "is no object");
    const auto it = from.find(name);
    if (it == from.end())
        bad(at.empty() ? name : at + "." + name, "is missing");
    return *it;
}
std::string text(const json &from, const char *name, const std::string &at = {}) {
    const json &value = need(from, name, at);
    if (!value.is_string())
        bad(at.empty() ? name : at + "." + name, "is no string");
    return value.get<std::string>();
}
double number(const json &from, const char *name, double least, double most,
              const std::string &at = {}) {
    const json &value = need(from, name, at);
    const std::string place = at.empty() ? name : at + "." + name;
    if (!value.is_number())
        bad(place, "is no number");
    const double n = value.get<double>();
    if (!(n >= least && n <= most))
        bad(place, "is out of range");
    return n;
}
asio::ip::tcp::endpoint addressOf(const json &from, const char *name, const std::string &at = {}) {
    const auto read = parseAddress(text(from, name, at));
    if (!read)
        bad(at.empty() ? name : at + "." + name, "is not HOST:PORT");
    return *read;
}

const std::string &text(const Form &from, const char *name) {
    const auto it = from.find(name);
    if (it == from.end())
        bad(name, "is missing");
    return it->second;
}
double number(const Form &from, const char *name, double least, double most) {
    const auto n = wholeNumber(text(from, name));
    if (!n || !(*n >= least && *n <= most))
        bad(name, "is out of range");
    return *n;
}

constexpr std::pair<const char *, RolloutPhase> kPhases[] = {
    {"Progressing", RolloutPhase::canary},
    {"Aborting", RolloutPhase::rollingBack},
    {"Healthy", RolloutPhase::released},
    {"Aborted", RolloutPhase::rolledBack}};
RolloutPhase phaseNamed(const std::string &said) {
    for (const auto &[name, phase] : kPhases)
        if (said == name)
            return phase;
    bad("progress", "holds an unknown word");
}

// The same fields, in JSON and in a form.
template <class From>
RolloutUpdate newsOf(const From &from) {
    return {false,
            Outcome::ok,
            BuildNumber(number(from, "image", 0, kMostBuild)),
            int(number(from, "ring", 0, kMostStage)),
            phaseNamed(text(from, "progress")),
            number(from, "ceiling", 0, 1),
            Duration{std::llround(number(from, "lag_ms", 0, kMostLagMs) * 1000)}};
}

// Keys that stand twice in one object: which of them counts would be chance.
json parseOnce(const std::string &text) {
    std::vector<std::set<std::string>> keys;
    std::string twice;
    const auto see = [&](int, json::parse_event_t event, json &value) {
        if (event == json::parse_event_t::object_start)
            keys.emplace_back();
        else if (event == json::parse_event_t::object_end)
            keys.pop_back();
        else if (event == json::parse_event_t::key &&
                 !keys.back().insert(value.get<std::string>()).second && twice.empty())
            twice = value.get<std::string>();
        return true;
    };
    json out = json::parse(text, see, false);
    if (out.is_discarded())
        throw std::invalid_argument("the configuration is not JSON");
    if (!twice.empty())
        bad(twice, "stands twice");
    return out;
}

}  // namespace

Members readMembers(const json &from, const std::vector<std::string> &zones) {
    Members out;
    const json &generation = need(from, "generation"), &reset = need(from, "reset"),
               &list = need(from, "instances");
    if (!generation.is_number_integer())
        bad("generation", "is no whole number");
    if (!reset.is_boolean())
        bad("reset", "is neither true nor false");
    if (!list.is_array() || list.size() > kMostMembers)
        bad("instances", "is no list");
    out.generation = generation.get<std::int64_t>(), out.complete = reset.get<bool>();
    for (const auto &one : list) {
        Member m;
        EndpointEntry &e = m.entry;
        e.id = text(one, "instanceId", "instances");
        if (e.id.empty() || e.id.size() > 256)
            bad("instances.instanceId", "is empty or too long");
        const std::string state = text(one, "lifecycle", "instances");
        e.state = state == "Ready"         ? EndpointState::active
                  : state == "Terminating" ? EndpointState::draining
                  : state == "Gone"        ? EndpointState::removed
                                           : (bad("instances.lifecycle", "holds an unknown word"),
                                       EndpointState::removed);
        // One that is gone may be told by its id alone.
        const bool gone = e.state == EndpointState::removed;
        if (!gone || one.contains("hostPort"))
            m.address = addressOf(one, "hostPort", "instances");
        if (!gone || one.contains("release"))
            e.build = BuildNumber(number(one, "release", 0, kMostBuild, "instances"));
        if (one.contains("zone")) {
            const auto zone = std::ranges::find(zones, text(one, "zone", "instances"));
            e.zone = zone == zones.end() ? int(zones.size()) : int(zone - zones.begin());
        }
        if (one.contains("cell"))
            e.cell = int(number(one, "cell", 0, 1e9, "instances"));
        if (one.contains("weight"))
            e.weight = number(one, "weight", 0, 1e9, "instances");
        if (one.contains("startedAtMs"))
            m.startedAtMs = std::int64_t(number(one, "startedAtMs", 0, 1e15, "instances"));
        out.members.push_back(std::move(m));
    }
    return out;
}

RolloutUpdate readNews(const json &from) {
    return newsOf(from);
}
RolloutUpdate readNews(const Form &from) {
    return newsOf(from);
}

Form readForm(std::string_view text) {
    Form out;
    const auto plain = [](std::string_view from) {
        std::string to;
        for (std::size_t k = 0; k < from.size(); ++k) {
            if (from[k] != '%') {
                to.push_back(from[k] == '+' ? ' ' : from[k]);
                continue;
            }
            unsigned value = 0;
            if (k + 2 >= from.size() ||
                std::from_chars(from.data() + k + 1, from.data() + k + 3, value, 16).ptr !=
                    from.data() + k + 3)
                throw std::invalid_argument("a form holds a bad escape");
            to.push_back(char(value)), k += 2;
        }
        return to;
    };
    const bool paired = eachPair(text, '&', [&](std::string_view name, std::string_view value) {
        if (!out.emplace(plain(name), plain(value)).second)
            throw std::invalid_argument("a form holds a name twice");
        return true;
    });
    if (!paired)
        throw std::invalid_argument("a form holds a name without a value");
    return out;
}

UsageReport readCounts(const Form &from, const std::vector<std::string> &routes) {
    const auto route = std::ranges::find(routes, text(from, "type"));
    if (route == routes.end())
        bad("type", "names no route");
    UsageReport out{BuildNumber(number(from, "image", 0, kMostBuild)), int(route - routes.begin()),
                    int(number(from, "n", 0, 1e9)), int(number(from, "bad", 0, 1e9)),
                    Duration{std::llround(number(from, "lag_ms", 0, kMostLagMs) * 1000)}};
    if (out.failures > out.attempts)
        bad("bad", "is over n");
    return out;
}

RolloutUpdate readVoteAnswer(int status, const std::string &body) {
    if (status == 500)
        return voteFailed(Outcome::error);
    pugi::xml_document doc;
    const bool whole =
        doc.load_buffer(body.data(), body.size(), pugi::parse_default, pugi::encoding_utf8);
    if (!whole)
        return voteFailed(Outcome::timeout);
    if (status == 400) {
        const std::string code = doc.child("Error").child("Code").text().get();
        return voteFailed(code == "throttled"  ? Outcome::overloaded
                          : code == "conflict" ? Outcome::obsolete
                          : code == "invalid"  ? Outcome::error
                                               : Outcome::timeout);
    }
    if (status != 200)
        return voteFailed(Outcome::timeout);
    Form fields;
    const auto item = doc.child("Response").child("items").child("item");
    for (const auto &field : item.children())
        fields[field.name()] = field.text().get();
    try {
        RolloutUpdate out = readNews(fields);
        out.isVoteReply = true;
        return out;
    } catch (const std::invalid_argument &) {
        return voteFailed(Outcome::timeout);
    }
}

std::string voteForm(const Vote &vote) {
    const char *opinion = vote.verdict == Verdict::promote    ? "PROCEED"
                          : vote.verdict == Verdict::hold     ? "HOLD"
                          : vote.verdict == Verdict::rollBack ? "ROLLBACK"
                                                              : "WITHDRAW";
    return "Action=RecordOpinion&image=" + std::to_string(vote.build) +
           "&ring=" + std::to_string(vote.step) + "&opinion=" + opinion;
}

std::optional<std::pair<std::string, std::string>> EventLines::line(std::string_view text) {
    if (text.ends_with('\r'))
        text.remove_suffix(1);
    if (text.empty()) {
        std::pair whole(std::exchange(name, {}), std::exchange(data, {}));
        if (whole.first.empty() && whole.second.empty())
            return std::nullopt;
        return whole;
    }
    if (text.front() == ':')
        return std::nullopt;
    const auto colon = text.find(':');
    std::string_view value =
        colon == std::string_view::npos ? std::string_view{} : text.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    const std::string_view field = text.substr(0, colon);
    if (data.size() + value.size() > kMostEvent)
        throw std::invalid_argument("an event is too long");
    if (field == "event")
        name = value;
    else if (field == "data")
        data += (data.empty() ? "" : "\n") + std::string(value);
    return std::nullopt;
}

namespace {
// A part of the whole: its faults name it.
auto within(const char *part, auto read) {
    try {
        return read();
    } catch (const std::exception &fault) {
        throw std::invalid_argument(std::string(part) + ": " + fault.what());
    }
}
}  // namespace

Start readStart(const std::string &whole) {
    const json from = parseOnce(whole);
    Start out;
    out.name = text(from, "name"), out.listen = addressOf(from, "listen");
    out.discovery = addressOf(from, "discovery");
    const std::string seed = text(from, "seed");
    const auto [end, fault] = std::from_chars(seed.data(), seed.data() + seed.size(), out.seed, 16);
    if (fault != std::errc{} || end != seed.data() + seed.size())
        bad("seed", "is no hexadecimal number of 64 bits");
    const json &limits = need(from, "limits");
    out.cores = number(limits, "cores", 0.001, 1024, "limits");
    out.memoryMb = std::size_t(number(limits, "memory_mb", 8, 1e9, "limits"));
    out.sockets = std::size_t(number(limits, "sockets", 64, 1e9, "limits"));
    const json &control = need(from, "platform");
    out.control = addressOf(control, "address", "platform");
    const json &settings = need(from, "settings");
    out.settings = within("settings", [&] { return simulator::readSettings(settings, out.seed); });
    if (const auto told = control.find("news"); told != control.end() && !told->is_null())
        out.news = within("platform.news", [&] { return readNews(*told); });
    out.known =
        within("known", [&] { return readMembers(need(from, "known"), out.settings.zones); });
    return out;
}

}  // namespace deckcart::platform
