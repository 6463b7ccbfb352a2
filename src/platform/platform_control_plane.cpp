#include "platform_control_plane.hpp"

#include "json_object_splitter.hpp"
#include "rollout_documents.hpp"
#include "unix_time.hpp"

namespace deckcart::platform {

// Several times the list of the largest site. Bounds the memory for a document that never ends.
constexpr std::size_t kMaxListBytes = 8 * 1024 * 1024;

EndpointListUpdate toEndpointListUpdate(const DiscoveryList &list) {
    EndpointListUpdate update{list.complete, {}};
    for (const auto &endpoint : list.endpoints) {
        update.entries.push_back(endpoint.entry);
        if (endpoint.startedAtUnixMs > 0)
            update.entries.back().startedAt = fromUnixMs(endpoint.startedAtUnixMs);
    }
    return update;
}

PlatformControlPlaneClient::PlatformControlPlaneClient(
    asio::io_context &ioContext, EndpointDirectory &endpointDirectory,
    const simulator::DeploymentSettings &deploymentSettings,
    const PlatformAddresses &platformAddresses, std::uint64_t seed, Log log,
    std::int64_t knownGeneration, ControlPlaneObserver gatewayObserver)
    : context(ioContext), directory(endpointDirectory), settings(deploymentSettings),
      addresses(platformAddresses), observer(std::move(gatewayObserver)),
      generation(knownGeneration), listStream(context, listWatchOptions(seed), log),
      rolloutStream(context, rolloutWatchOptions(seed + 1), std::move(log)) {
    listStream.connectTo(addresses.discovery);
    rolloutStream.connectTo(addresses.control);
}

// The target is computed at each connect, so that a reconnect continues from the last generation.
WatchStream::Options PlatformControlPlaneClient::listWatchOptions(std::uint64_t seed) {
    const auto target = [this] {
        return "/discovery/hosts?stream=1&index=" + std::to_string(generation);
    };
    const auto makeReader = [this]() -> WatchStream::Reader {
        const auto splitter = std::make_shared<JsonObjectSplitter>(kMaxListBytes);
        return [this, splitter](std::string_view bytes) {
            const auto documents = splitter->consume(bytes);
            for (const auto &text : documents)
                onList(parseDiscoveryList(nlohmann::json::parse(text), settings.zones));
            // The platform sends white space between two lists as a heartbeat.
            return !documents.empty() || !splitter->insideObject();
        };
    };
    return {"discovery", listTimeouts(), http::Fetch::Cut::nowhere, seed, target, makeReader};
}

WatchStream::Options PlatformControlPlaneClient::rolloutWatchOptions(std::uint64_t seed) {
    const auto target = [] { return std::string("/apis/fleet/bulletin"); };
    const auto makeReader = [this]() -> WatchStream::Reader {
        const auto parser = std::make_shared<ServerSentEventParser>();
        return [this, parser](std::string_view line) {
            if (const auto event = parser->consumeLine(line))
                onRolloutEvent(*event);
            return true;  // any line proves that the peer is alive, including a comment
        };
    };
    return {"bulletin", rolloutTimeouts(), http::Fetch::Cut::atLines, seed, target, makeReader};
}

void PlatformControlPlaneClient::onRolloutEvent(const ServerSentEvent &event) {
    if (event.type == "news")
        observer.onEvent(parseRolloutUpdate(parseForm(event.data)));
    else if (event.type == "counts")
        observer.onEvent(parseUsageReport(parseForm(event.data), settings.routes));
}

void PlatformControlPlaneClient::setSubscribed(bool) {}

void PlatformControlPlaneClient::setAddresses(const PlatformAddresses &changed) {
    if (changed.discovery != addresses.discovery)
        listStream.connectTo(changed.discovery);
    if (changed.control != addresses.control)
        rolloutStream.connectTo(changed.control);
    addresses = changed;
}

void PlatformControlPlaneClient::onList(const DiscoveryList &list) {
    if (list.generation < generation)
        return;  // a newer list has been applied already
    generation = list.generation;
    directory.apply(list);
    observer.onEvent(toEndpointListUpdate(list));
}

void PlatformControlPlaneClient::vote(const Vote &vote, Duration within) {
    http::RequestHead head;
    head.method = "POST";
    head.target = "/apis/fleet/";
    head.headers = {{"Content-Type", "application/x-www-form-urlencoded"}};
    const auto onReply = [this](const http::Fetched &reply) {
        if (reply.inTime && reply.outcome == CallEnd::complete)
            return observer.onEvent(parseVoteReply(reply.head.status, reply.body));
        // The vote cannot have counted if nothing was sent; otherwise it may have.
        observer.onEvent(
            failedVoteUpdate(reply.startedSending ? Outcome::timeout : Outcome::error));
    };
    voteCalls.add(
        http::Fetch::start(context, addresses.control, head, formatVote(vote), within, onReply));
}

}  // namespace deckcart::platform
