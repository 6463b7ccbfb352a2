// The interfaces that a gateway needs from a transport: requests from clients, calls and probes to
// endpoints, and the control plane client. They are independent of the protocol:
// http_transport.hpp implements them for HTTP, src/platform/ for the platform. An implementation
// never chooses an endpoint, never retries by itself and never delays a final response.
#pragma once

#include <asio/ip/tcp.hpp>
#include <deckcart/policy.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "../base/socket.hpp"
#include "../control_plane/control_plane_client.hpp"

namespace deckcart {

class UpstreamCall;

/// The properties of a request that the policy and the data path use.
struct RequestAttributes {
    std::size_t route = 0;  ///< Index into GatewaySettings::routes.
    int tenant = 0;         ///< Index into GatewaySettings::tenants; past their end if not listed.
    std::string key;        ///< Affinity key; empty if the request has none.
    std::string requestId;  ///< Request id given by the client; empty if it gave none.
    Duration timeout{};     ///< How long the client waits, counted from the arrival.
};

/// A request received from a client. It is answered exactly once: by respondShed(), respondError(),
/// respond(), or the sequence beginResponse(), write(), end(). Data written after the client has
/// disconnected is discarded. All calls and callbacks happen on the gateway's event loop thread.
class DownstreamRequest {
  public:
    virtual ~DownstreamRequest() = default;

    /// Whether the client is connected and the final response is not finished.
    virtual bool isOpen() const = 0;
    /// Checks the client's socket for a close that has not been read yet. `closed` if the request
    /// is not open either.
    virtual PeerState clientState() const = 0;
    /// Called before an attempt is sent: from now on, an endpoint may see the request's id.
    virtual void onAttemptStart() {}
    /// Rejects the request. `requestId` is the request id that is returned to the client.
    virtual void respondShed(const std::string &requestId, Duration retryAfter) = 0;
    /// Responds with an error. `late`: the request's deadline has passed.
    virtual void respondError(const std::string &requestId, bool late) = 0;
    /// Responds with the complete response of an endpoint.
    virtual void respond(UpstreamCall &call, std::string_view responseBody) = 0;
    /// Starts a streamed response; write() and end() follow.
    virtual void beginResponse(UpstreamCall &call) = 0;
    virtual void write(std::string_view part) = 0;
    virtual void end() = 0;
    /// Closes the connection in the middle of a streamed response that can't be completed, so that
    /// the client detects the truncation.
    virtual void abort() = 0;
    /// Response bytes buffered here that the client has not read yet.
    virtual std::size_t pendingBytes() const = 0;
    /// Writes a second response after the first. Fault injection for scenario runs.
    virtual void injectDuplicateResponse() {}

    RequestAttributes attributes;
    /// Called when the client disconnects before the response has ended.
    std::function<void()> onClientDisconnected;
    /// Called when the client has read all buffered response bytes.
    std::function<void()> onDrained;
};

/// Receives the events of a call. Must stay valid until onCallEnd() or UpstreamCall::release().
class CallObserver {
  public:
    virtual ~CallObserver() = default;
    virtual void onResponse(std::string_view part) = 0;
    /// The last callback of a call. `outcome` must state correctly whether the request may have
    /// run.
    virtual void onCallEnd(Outcome outcome) = 0;
};

/// Called once, when the connection is established and nothing has been written yet. Returns the
/// time that the client still waits, or nothing if the attempt must not be sent any more.
using PreSendCheck = std::function<std::optional<Duration>()>;

/// The call of one attempt to an endpoint. Its owner must call release() exactly once.
class UpstreamCall {
  public:
    virtual ~UpstreamCall() = default;
    /// Sends the client's request. Never invokes `observer` before it returns.
    virtual void start(const DownstreamRequest &request, const std::string &requestId,
                       PreSendCheck preSendCheck, BuildNumber build, CallObserver *observer) = 0;
    /// Whether the endpoint may have received the whole request. While this is false, the attempt
    /// can be withdrawn without having run.
    virtual bool startedSending() const = 0;
    /// Ends the call; no callback follows. The connection of a completed call may be reused; any
    /// other connection is closed at once.
    virtual void release(Duration now) = 0;
    /// Processes response data that has already arrived, which may end the call. To be called
    /// before a call is given up.
    virtual void processPendingInput() {}
    /// Stops reading the response until resume() is called (backpressure).
    virtual void pause() {}
    virtual void resume() {}
};

/// The upstream side of a transport: calls and probes to endpoints. Must outlive its calls.
class UpstreamPool {
  public:
    /// Receives the load that the endpoint reports; empty if the probe has failed.
    using ProbeCallback = std::function<void(std::vector<double> load)>;
    virtual ~UpstreamPool() = default;
    /// Returns null if a connection limit is reached or the endpoint has no address.
    virtual std::shared_ptr<UpstreamCall> createCall(const EndpointId &endpoint) = 0;
    virtual void closeIdle(const EndpointId &endpoint) = 0;
    /// Closes connections that have been idle for too long. To be called every sweepInterval().
    virtual void closeExpired(Duration now) = 0;
    virtual Duration sweepInterval() const { return std::chrono::seconds(1); }
    virtual void probe(const EndpointId &endpoint, ProbeCallback done) = 0;
};

/// The downstream side of a transport: the listener that clients connect to.
class Downstream {
  public:
    virtual ~Downstream() = default;
    virtual asio::ip::tcp::endpoint address() const = 0;
    /// Applies the current limits after the settings have changed.
    virtual void applyLimits() = 0;
    /// Stops accepting requests; requests in flight are still answered, after which their
    /// connections are closed. Calls `done`, possibly from within this call, once no further
    /// request can arrive.
    virtual void drain(std::function<void()> done) = 0;
    /// Number of open client connections.
    virtual std::size_t connections() const = 0;
};

/// The callbacks of a downstream; their owner must outlive the downstream.
struct DownstreamHandler {
    std::function<void(std::shared_ptr<DownstreamRequest>)> onRequest;
    /// A request matched no route and has been answered.
    std::function<void()> onUnrouted;
};

struct GatewaySettings;

/// Creates the transport's parts for one gateway. The settings must outlive the parts.
/// downstream() throws std::system_error if it can't listen.
class Transport {
  public:
    virtual ~Transport() = default;
    virtual std::unique_ptr<Downstream> downstream(const GatewaySettings &settings,
                                                   DownstreamHandler handler) const = 0;
    virtual std::unique_ptr<UpstreamPool> upstreams(const GatewaySettings &settings) const = 0;
    virtual std::unique_ptr<ControlPlaneClient>
    controlPlane(const GatewaySettings &settings, ControlPlaneObserver observer) const = 0;
};

}  // namespace deckcart
