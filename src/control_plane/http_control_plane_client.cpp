#include "http_control_plane_client.hpp"

namespace deckcart {
namespace {

using nlohmann::json;

// No site has this many endpoints: a list with more entries is rejected as invalid.
constexpr std::size_t kMaxEntries = 20000;
// All stored start times are dropped beyond this number, many times the endpoints of a site, so
// that restarts of endpoints don't grow the map without bound.
constexpr std::size_t kMaxStartTimes = 4096;

constexpr int kConflict = 409;         // the stage that the vote is for has ended
constexpr int kTooManyRequests = 429;  // the control plane is overloaded

http::RequestHead requestHead(const std::string &method, const std::string &target) {
    http::RequestHead head;
    head.method = method;
    head.target = target;
    return head;
}

/// The outcome of a vote by the status of its response; the body is not read.
Outcome voteOutcome(const http::Fetched &response) {
    // Without a complete response the vote may or may not have been counted.
    if (!response.inTime || response.outcome != http::CallEnd::complete)
        return Outcome::timeout;
    if (response.head.status == kConflict)
        return Outcome::obsolete;
    if (response.head.status == kTooManyRequests)
        return Outcome::overloaded;
    return response.ok() ? Outcome::ok : Outcome::error;
}

}  // namespace

HttpControlPlaneClient::HttpControlPlaneClient(asio::io_context &ioContext,
                                               const GatewaySettings &gatewaySettings,
                                               TimeSource timeSource, EventHandler eventHandler)
    : context(ioContext), settings(gatewaySettings), now(std::move(timeSource)),
      handler(std::move(eventHandler)) {}

HttpControlPlaneClient::~HttpControlPlaneClient() {
    stopCalls();
}

void HttpControlPlaneClient::setSubscribed(bool active) {
    stopCalls();
    if (active)
        startList();
}

void HttpControlPlaneClient::stopCalls() {
    if (watchCall) {
        watchCall->stop();
        watchCall = nullptr;
    }
    if (listCall) {
        listCall->stop();
        listCall = nullptr;
    }
}

void HttpControlPlaneClient::reportListFailure() {
    stopCalls();
    handler(EndpointListFailed{});
}

std::string HttpControlPlaneClient::listTarget() const {
    return "/v1/fleet?gateway=" + settings.id;
}

void HttpControlPlaneClient::startList() {
    if (!settings.controlPlane)
        return;
    listCall =
        http::Fetch::start(context, settings.controlPlane->address,
                           requestHead("GET", listTarget()), {}, settings.controlPlane->listTimeout,
                           [this](const http::Fetched &response) { onList(response); });
}

void HttpControlPlaneClient::onList(const http::Fetched &response) {
    listCall = nullptr;
    if (!response.ok())
        return reportListFailure();
    try {
        const json document = json::parse(response.body);
        const auto listedVersion = requiredField<std::uint64_t>(document, "version");
        reportEndpoints(requiredField<json>(document, "instances"), true);
        if (document.contains("stage"))
            reportStage(document["stage"], false);
        listVersion = listedVersion;
        startWatch();
    } catch (const std::exception &) {
        reportListFailure();
    }
}

void HttpControlPlaneClient::startWatch() {
    watchCall = http::Fetch::start(
        context, settings.controlPlane->address,
        requestHead("GET", listTarget() + "&watch=" + std::to_string(listVersion)), {},
        settings.controlPlane->watchSilenceTimeout,
        // Any end of the watch, status 410 included, requires a new list.
        [this](const http::Fetched &) { reportListFailure(); },
        [this](std::string_view line) {
            try {
                onWatchEvent(json::parse(line));
            } catch (const std::exception &) {
                reportListFailure();  // the event may have held a change: a new list is needed
            }
        });
}

void HttpControlPlaneClient::onWatchEvent(const json &event) {
    const auto eventVersion = requiredField<std::uint64_t>(event, "version");
    const auto kind = requiredField<std::string>(event, "kind");
    if (kind == "instances")
        reportEndpoints(requiredField<json>(event, "instances"), false);
    else if (kind == "stage")
        reportStage(requiredField<json>(event, "stage"), false);
    else if (kind == "tally")
        reportUsage(requiredField<json>(event, "tally"));
    listVersion = eventVersion;  // bookmarks and unknown kinds only advance the version
}

void HttpControlPlaneClient::reportEndpoints(const json &entries, bool complete) {
    if (!entries.is_array() || entries.size() > kMaxEntries)
        throw ParseError("instances", "field instances is not an array or has too many entries");
    EndpointListUpdate update{complete, {}};
    if (startTimes.size() > kMaxStartTimes)
        startTimes.clear();
    for (const auto &document : entries) {
        const ListedEndpoint endpoint = readListedEndpoint(document);
        EndpointEntry entry = toEndpointEntry(endpoint, settings);
        if (endpoint.age)
            entry.startedAt = startTimeOf(endpoint, *endpoint.age);
        update.entries.push_back(std::move(entry));
    }
    handler(std::move(update));
}

TimePoint HttpControlPlaneClient::startTimeOf(const ListedEndpoint &endpoint, Duration age) {
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

void HttpControlPlaneClient::vote(const Vote &vote, Duration timeout) {
    if (!settings.controlPlane)
        return;
    // Unique for each vote, so that the control plane counts a repeated request once.
    ++votesSent;
    const std::string idempotencyKey =
        settings.id + "-" + std::to_string(now().count()) + "-" + std::to_string(votesSent);
    auto head = requestHead("POST", "/v1/votes");
    head.headers = {{"Content-Type", "application/json"}, {"Idempotency-Key", idempotencyKey}};
    const json body{{"gateway", settings.id},
                    {"build", vote.build},
                    {"step", vote.step},
                    {"verdict", nameOf(vote.verdict)}};
    voteCalls.add(
        http::Fetch::start(context, settings.controlPlane->address, head, body.dump(), timeout,
                           [this](const http::Fetched &response) { onVoteReply(response); }));
}

void HttpControlPlaneClient::onVoteReply(const http::Fetched &response) {
    Outcome outcome = voteOutcome(response);
    if (outcome == Outcome::ok) {
        try {
            return reportStage(json::parse(response.body), true);
        } catch (const std::exception &) {
            outcome = Outcome::timeout;  // counted, but its result is unreadable
        }
    }
    handler(failedVoteUpdate(outcome));
}

}  // namespace deckcart
