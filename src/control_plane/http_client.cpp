#include "http_client.hpp"

#include <stdexcept>

namespace deckcart {
namespace {

using nlohmann::json;

constexpr std::size_t kMostEntries = 20000;  // of a list: beyond it is no list of a site
constexpr std::size_t kStartsKept = 4096;    // of instances: those of a site many times over

template <class T>
T need(const json &from, const char *name) {
    try {
        return from.at(name).get<T>();
    } catch (const json::exception &) {
        throw std::invalid_argument(std::string("field ") + name +
                                    " is missing or has a wrong type");
    }
}
Duration milli(double ms) {
    return Duration{std::llround(ms * 1000)};
}

template <class E>
E named(const json &from, const char *name,
        std::initializer_list<std::pair<const char *, E>> known) {
    const auto said = need<std::string>(from, name);
    for (const auto &[text, value] : known)
        if (said == text)
            return value;
    throw std::invalid_argument(std::string("field ") + name + " holds an unknown word");
}

}  // namespace

const char *nameOf(Verdict verdict) {
    switch (verdict) {
    case Verdict::none:
        return "none";
    case Verdict::promote:
        return "on";
    case Verdict::hold:
        return "hold";
    case Verdict::rollBack:
        return "back";
    }
    return "none";
}
const char *nameOf(RolloutPhase phase) {
    switch (phase) {
    case RolloutPhase::canary:
        return "on-trial";
    case RolloutPhase::rollingBack:
        return "going-back";
    case RolloutPhase::released:
        return "released";
    case RolloutPhase::rolledBack:
        return "withdrawn";
    }
    return "released";
}
std::optional<Verdict> verdictNamed(const std::string &name) {
    for (const Verdict v : {Verdict::none, Verdict::promote, Verdict::hold, Verdict::rollBack})
        if (name == nameOf(v))
            return v;
    return std::nullopt;
}

json toJson(const ListedEndpoint &s) {
    const char *state = s.state == EndpointState::active     ? "live"
                        : s.state == EndpointState::draining ? "draining"
                                                             : "gone";
    json out{{"id", s.id},
             {"zone", s.zone},
             {"cell", s.cell},
             {"build", s.build},
             {"readiness", state},
             {"weight", s.weight},
             {"incarnation", s.incarnation}};
    if (s.age)
        out["ageMs"] = milliseconds(*s.age);
    return out;
}

ListedEndpoint readListed(const json &from) {
    ListedEndpoint s;
    s.id = need<std::string>(from, "id"), s.build = need<int>(from, "build");
    s.zone = from.value("zone", std::string{}), s.cell = from.value("cell", 0);
    s.state = named<EndpointState>(from, "readiness",
                                   {{"live", EndpointState::active},
                                    {"draining", EndpointState::draining},
                                    {"gone", EndpointState::removed}});
    s.weight = from.value("weight", 1.0), s.incarnation = from.value("incarnation", std::string{});
    if (from.contains("ageMs"))
        s.age = milli(need<double>(from, "ageMs"));
    if (!(s.weight > 0) || s.id.empty())
        throw std::invalid_argument("field id or weight is out of range");
    return s;
}

EndpointEntry entryOf(const ListedEndpoint &s, const GatewaySettings &settings) {
    return {s.id, settings.zoneNo(s.zone), s.cell, s.build, s.state, s.weight, {}};
}

ListedEndpoint listedOf(const EndpointEntry &e, const std::vector<std::string> &zones,
                        Duration now) {
    ListedEndpoint s;
    s.id = e.id, s.cell = e.cell, s.build = e.build, s.state = e.state, s.weight = e.weight;
    if (std::size_t(e.zone) < zones.size())
        s.zone = zones[std::size_t(e.zone)];
    if (e.startedAt)
        s.age = now - *e.startedAt;
    return s;
}

json toJson(const RolloutStage &s) {
    return {{"build", s.build},
            {"step", s.step},
            {"phase", nameOf(s.phase)},
            {"cap", s.exposureLimit},
            {"sinceMs", milliseconds(s.age)}};
}

RolloutStage readStage(const json &from) {
    RolloutStage s;
    s.build = need<int>(from, "build"), s.step = need<int>(from, "step");
    s.phase = named<RolloutPhase>(from, "phase",
                                  {{"on-trial", RolloutPhase::canary},
                                   {"going-back", RolloutPhase::rollingBack},
                                   {"released", RolloutPhase::released},
                                   {"withdrawn", RolloutPhase::rolledBack}});
    s.exposureLimit = need<double>(from, "cap"), s.age = milli(need<double>(from, "sinceMs"));
    if (!(s.exposureLimit >= 0 && s.exposureLimit <= 1) || s.step < 0)
        throw std::invalid_argument("field cap or step is out of range");
    return s;
}

HttpControlPlaneClient::HttpControlPlaneClient(asio::io_context &io, const GatewaySettings &with,
                                               Now clock, Tell to)
    : context(io), settings(with), now(std::move(clock)), tell(std::move(to)) {}

HttpControlPlaneClient::~HttpControlPlaneClient() {
    follow(false);
}

http::RequestHead HttpControlPlaneClient::request(const std::string &method,
                                                  const std::string &target) const {
    http::RequestHead head;
    head.method = method, head.target = target;
    return head;
}

void HttpControlPlaneClient::follow(bool active) {
    if (watching)
        watching->stop(), watching = nullptr;
    if (listing)
        listing->stop(), listing = nullptr;
    if (active)
        list();
}

void HttpControlPlaneClient::lost() {
    follow(false);
    tell(EndpointListFailed{});
}

void HttpControlPlaneClient::list() {
    if (!settings.controlPlane)
        return;
    auto call = http::Fetch::start(
        context, settings.controlPlane->address, request("GET", "/v1/fleet?gateway=" + settings.id),
        {}, settings.controlPlane->answerWithin, [this](const http::Fetched &got) {
            listing = nullptr;
            try {
                if (!got.ok())
                    throw std::invalid_argument("no answer");
                const json said = json::parse(got.body);
                const auto at = need<std::uint64_t>(said, "version");
                tellList(need<json>(said, "instances"), true);
                if (said.contains("stage"))
                    tellStage(said["stage"], false, Outcome::ok);
                version = at;
                watch();
            } catch (const std::exception &) {
                lost();
            }
        });
    listing = call;
}

void HttpControlPlaneClient::watch() {
    watching = http::Fetch::start(
        context, settings.controlPlane->address,
        request("GET", "/v1/fleet?gateway=" + settings.id + "&watch=" + std::to_string(version)),
        {}, settings.controlPlane->silentFor,
        [this](const http::Fetched &) { lost(); },  // 410 too: the next follow lists anew
        [this](std::string_view line) {
            try {
                took(json::parse(line));
            } catch (const std::exception &) {
                lost();  // out of step with the control plane: list anew
            }
        });
}

void HttpControlPlaneClient::took(const json &said) {
    const auto at = need<std::uint64_t>(said, "version");
    const auto kind = need<std::string>(said, "kind");
    if (kind == "instances")
        tellList(need<json>(said, "instances"), false);
    else if (kind == "stage")
        tellStage(need<json>(said, "stage"), false, Outcome::ok);
    else if (kind == "tally") {
        for (const auto &row : need<json>(said, "tally")) {
            const auto route = need<int>(row, "route");
            if (route < 0 || std::size_t(route) >= settings.routes.size())
                continue;
            tell(UsageReport{need<int>(row, "build"), route, need<int>(row, "counted"),
                             need<int>(row, "lost"), milli(need<double>(row, "sinceMs"))});
        }
    }
    version = at;  // bookmarks, and kinds that come later, only move it
}

void HttpControlPlaneClient::tellList(const json &entries, bool complete) {
    if (!entries.is_array() || entries.size() > kMostEntries)
        throw std::invalid_argument("field instances is no list");
    EndpointListUpdate list{complete, {}};
    if (starts.size() > kStartsKept)
        starts.clear();
    for (const auto &entry : entries) {
        const ListedEndpoint s = readListed(entry);
        EndpointEntry e = entryOf(s, settings);
        if (s.age)
            e.startedAt = starts.try_emplace({s.id, s.incarnation}, now() - *s.age).first->second;
        list.entries.push_back(std::move(e));
    }
    tell(std::move(list));
}

void HttpControlPlaneClient::tellStage(const json &from, bool isVoteReply, Outcome outcome) {
    const RolloutStage s = readStage(from);
    tell(RolloutUpdate{isVoteReply, outcome, s.build, s.step, s.phase, s.exposureLimit, s.age});
}

void HttpControlPlaneClient::vote(const Vote &vote, Duration within) {
    if (!settings.controlPlane)
        return;
    auto head = request("POST", "/v1/votes");
    head.headers = {{"Content-Type", "application/json"},
                    {"Idempotency-Key", settings.id + "-" + std::to_string(now().count()) + "-" +
                                            std::to_string(++votesSent)}};
    const json body{{"gateway", settings.id},
                    {"build", vote.build},
                    {"step", vote.step},
                    {"verdict", nameOf(vote.verdict)}};
    calls.add(http::Fetch::start(context, settings.controlPlane->address, head, body.dump(), within,
                                 [this](const http::Fetched &got) {
                                     // No answer, or a broken one: the vote may have counted.
                                     Outcome outcome =
                                         !got.inTime || got.outcome != http::CallEnd::complete
                                             ? Outcome::timeout
                                         : got.head.status == 409 ? Outcome::obsolete
                                         : got.head.status == 429 ? Outcome::overloaded
                                         : got.ok()               ? Outcome::ok
                                                                  : Outcome::error;
                                     try {
                                         if (outcome == Outcome::ok)
                                             return tellStage(json::parse(got.body), true, outcome);
                                     } catch (const std::exception &) {
                                         outcome = Outcome::timeout;
                                     }
                                     tell(voteFailed(outcome));
                                 }));
}

}  // namespace deckcart
