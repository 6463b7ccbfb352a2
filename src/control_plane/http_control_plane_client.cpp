#include "http_control_plane_client.hpp"

namespace deckcart {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxEntries = 20000;    // of a list: beyond it is no list of a site
constexpr std::size_t kMaxStartTimes = 4096;  // of endpoints: those of a site many times over

constexpr int kConflict = 409;         // the vote is on a stage that is over
constexpr int kTooManyRequests = 429;  // the control plane has no time for it

http::RequestHead requestHead(const std::string &method, const std::string &target) {
    http::RequestHead head;
    head.method = method;
    head.target = target;
    return head;
}

/// What a vote's answer means, before its body is read.
Outcome outcomeOf(const http::Fetched &answer) {
    // No answer, or a broken one: the vote may have counted.
    if (!answer.inTime || answer.outcome != http::CallEnd::complete)
        return Outcome::timeout;
    if (answer.head.status == kConflict)
        return Outcome::obsolete;
    if (answer.head.status == kTooManyRequests)
        return Outcome::overloaded;
    return answer.ok() ? Outcome::ok : Outcome::error;
}

}  // namespace

HttpControlPlaneClient::HttpControlPlaneClient(asio::io_context &io, const GatewaySettings &with,
                                               TimeSource clock, EventHandler to)
    : context(io), settings(with), now(std::move(clock)), handler(std::move(to)) {}

HttpControlPlaneClient::~HttpControlPlaneClient() {
    stop();
}

void HttpControlPlaneClient::follow(bool active) {
    stop();
    if (active)
        startList();
}

void HttpControlPlaneClient::stop() {
    if (watchCall) {
        watchCall->stop();
        watchCall = nullptr;
    }
    if (listCall) {
        listCall->stop();
        listCall = nullptr;
    }
}

void HttpControlPlaneClient::watchFailed() {
    stop();
    handler(EndpointListFailed{});
}

std::string HttpControlPlaneClient::listTarget() const {
    return "/v1/fleet?gateway=" + settings.id;
}

void HttpControlPlaneClient::startList() {
    if (!settings.controlPlane)
        return;
    listCall = http::Fetch::start(context, settings.controlPlane->address,
                                  requestHead("GET", listTarget()), {},
                                  settings.controlPlane->answerWithin,
                                  [this](const http::Fetched &answer) { onList(answer); });
}

void HttpControlPlaneClient::onList(const http::Fetched &answer) {
    listCall = nullptr;
    if (!answer.ok())
        return watchFailed();
    try {
        const json document = json::parse(answer.body);
        const auto listed = requiredField<std::uint64_t>(document, "version");
        reportEndpoints(requiredField<json>(document, "instances"), true);
        if (document.contains("stage"))
            reportStage(document["stage"], false);
        version = listed;
        startWatch();
    } catch (const std::exception &) {
        watchFailed();
    }
}

void HttpControlPlaneClient::startWatch() {
    watchCall = http::Fetch::start(
        context, settings.controlPlane->address,
        requestHead("GET", listTarget() + "&watch=" + std::to_string(version)), {},
        settings.controlPlane->silentFor,
        [this](const http::Fetched &) { watchFailed(); },  // 410 too: the next one lists anew
        [this](std::string_view line) {
            try {
                onWatchEvent(json::parse(line));
            } catch (const std::exception &) {
                watchFailed();  // out of step with the control plane: list anew
            }
        });
}

void HttpControlPlaneClient::onWatchEvent(const json &event) {
    const auto reached = requiredField<std::uint64_t>(event, "version");
    const auto kind = requiredField<std::string>(event, "kind");
    if (kind == "instances")
        reportEndpoints(requiredField<json>(event, "instances"), false);
    else if (kind == "stage")
        reportStage(requiredField<json>(event, "stage"), false);
    else if (kind == "tally")
        reportUsage(requiredField<json>(event, "tally"));
    version = reached;  // bookmarks, and kinds that come later, only move it
}

void HttpControlPlaneClient::reportEndpoints(const json &entries, bool complete) {
    if (!entries.is_array() || entries.size() > kMaxEntries)
        throw ParseError("instances", "field instances is no list");
    EndpointListUpdate update{complete, {}};
    if (startTimes.size() > kMaxStartTimes)
        startTimes.clear();
    for (const auto &document : entries) {
        const ListedEndpoint endpoint = readListedEndpoint(document);
        EndpointEntry entry = entryOf(endpoint, settings);
        if (endpoint.age)
            entry.startedAt = startOf(endpoint, *endpoint.age);
        update.entries.push_back(std::move(entry));
    }
    handler(std::move(update));
}

TimePoint HttpControlPlaneClient::startOf(const ListedEndpoint &endpoint, Duration age) {
    const Incarnation incarnation{endpoint.id, endpoint.incarnation};
    return startTimes.try_emplace(incarnation, now() - age).first->second;
}

void HttpControlPlaneClient::reportStage(const json &document, bool isVoteReply) {
    const RolloutStage stage = readStage(document);
    handler(RolloutUpdate{isVoteReply, Outcome::ok, stage.build, stage.step, stage.phase,
                          stage.exposureLimit, stage.age});
}

void HttpControlPlaneClient::reportUsage(const json &rows) {
    for (const auto &row : rows)
        if (const auto report = readUsageReport(row, settings.routes.size()))
            handler(*report);
}

void HttpControlPlaneClient::vote(const Vote &vote, Duration within) {
    if (!settings.controlPlane)
        return;
    // Its own for each vote, so that the control plane counts a repeated one once.
    ++votesSent;
    const std::string idempotencyKey =
        settings.id + "-" + std::to_string(now().count()) + "-" + std::to_string(votesSent);
    auto head = requestHead("POST", "/v1/votes");
    head.headers = {{"Content-Type", "application/json"}, {"Idempotency-Key", idempotencyKey}};
    const json body{{"gateway", settings.id},
                    {"build", vote.build},
                    {"step", vote.step},
                    {"verdict", nameOf(vote.verdict)}};
    voteCalls.add(http::Fetch::start(context, settings.controlPlane->address, head, body.dump(),
                                     within,
                                     [this](const http::Fetched &answer) { onVoteReply(answer); }));
}

void HttpControlPlaneClient::onVoteReply(const http::Fetched &answer) {
    Outcome outcome = outcomeOf(answer);
    if (outcome == Outcome::ok) {
        try {
            return reportStage(json::parse(answer.body), true);
        } catch (const std::exception &) {
            outcome = Outcome::timeout;  // it counted, but what came of it can't be read
        }
    }
    handler(voteFailed(outcome));
}

}  // namespace deckcart
