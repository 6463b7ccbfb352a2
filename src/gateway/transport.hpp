// What a gateway needs of a transport: requests from clients, calls and probes to endpoints, list
// and votes. What crosses them is the same whatever the protocol: HTTP's is in http_transport.hpp,
// a platform's in src/platform/. Nothing behind these interfaces chooses an endpoint, sends again
// by itself, or holds a final answer back.
#pragma once

#include <asio/ip/tcp.hpp>
#include <deckcart/policy.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "../control_plane/control_plane_client.hpp"

namespace deckcart {

class UpstreamCall;

/// What the policy and the data path want to know of a request.
struct RequestAttributes {
    std::size_t route = 0;  ///< Its place in GatewaySettings::routes.
    int tenant = 0;         ///< Past the end of the shares: one that is not named.
    std::string key;        ///< For affinity; empty: none.
    std::string name;       ///< The client's own id of the request; empty: it gave none.
    Duration wait{};        ///< From the request's arrival until the client gives up.
};

/// A request that a client has sent; answered once: by shed, errored, completed, or begin, write
/// and end. What is written after the client has gone goes nowhere. All calls and callbacks on the
/// thread of the gateway's loop.
class DownstreamRequest {
  public:
    virtual ~DownstreamRequest() = default;

    /// Whether the client is there and no final answer has ended.
    virtual bool open() const = 0;
    /// Looks at the client's socket as well: its close may not have been read yet.
    virtual bool isClientConnected() const { return open(); }
    /// Rejects the request. `name`: the request's id as the client gets it.
    virtual void shed(const std::string &name, Duration retryAfter) = 0;
    /// Answers with an error; `late`: since its time has run out.
    virtual void errored(const std::string &name, bool late) = 0;
    /// Answers with the whole of an endpoint's response.
    virtual void completed(UpstreamCall &from, std::string_view answer) = 0;
    /// Begins a response that is passed on as it comes, by write() and end().
    virtual void begin(UpstreamCall &from) = 0;
    virtual void write(std::string_view part) = 0;
    virtual void end() = 0;
    /// Cuts a response that can't be completed, so that the client can tell.
    virtual void abort() = 0;
    /// Bytes that the client has not taken yet.
    virtual std::size_t waiting() const = 0;
    /// Writes a second answer behind the first: a fault that scenario runs ask for.
    virtual void injectDuplicateResponse() {}

    RequestAttributes attributes;
    /// Called when the client has left before the answer's end.
    std::function<void()> onGone;
    /// Called when what was waiting has been taken.
    std::function<void()> onDrained;
};

/// What a call reports to the attempt that it was started for, which must stay valid until
/// onCallEnd() or UpstreamCall::release().
class CallObserver {
  public:
    virtual ~CallObserver() = default;
    virtual void onResponse(std::string_view part) = 0;
    /// The last callback. `outcome`: ok, or the truth of whether the request may have run.
    virtual void onCallEnd(Outcome outcome) = 0;
};

/// Asked once, when a connection is up and nothing is written yet: what is left of the client's
/// wait then, or empty if the attempt must not be sent any more.
using PreSendCheck = std::function<std::optional<Duration>()>;

/// One attempt's call to an endpoint. Given back once, by release().
class UpstreamCall {
  public:
    virtual ~UpstreamCall() = default;
    /// Sends what the client has sent. Never calls back from within.
    virtual void start(const DownstreamRequest &request, const std::string &name,
                       PreSendCheck preSendCheck, BuildNumber build, CallObserver *owner) = 0;
    /// Whether the endpoint may have got the whole of it. What was not handed over can be
    /// withdrawn.
    virtual bool startedSending() const = 0;
    /// Gives the call up; nothing is called back afterwards. The connection of one that has ended
    /// may be used again; else it is closed at once.
    virtual void release(Duration now) = 0;
    /// Reads what has come already, which may end the call: before it is given up.
    virtual void look() {}
    /// Stops reading the response until resume().
    virtual void pause() {}
    virtual void resume() {}
};

/// The endpoints' side of a transport. Outlives its calls.
class UpstreamPool {
  public:
    /// Gets the load that the endpoint reports; empty: the probe has failed.
    using ProbeCallback = std::function<void(std::vector<double> load)>;
    virtual ~UpstreamPool() = default;
    /// Null when a bound is reached or the endpoint has no address.
    virtual std::shared_ptr<UpstreamCall> take(const EndpointId &endpoint) = 0;
    virtual void closeIdle(const EndpointId &endpoint) = 0;
    /// Ends connections that have been idle for too long; to be called every sweepEvery().
    virtual void sweep(Duration now) = 0;
    virtual Duration sweepEvery() const { return std::chrono::seconds(1); }
    virtual void probe(const EndpointId &endpoint, ProbeCallback done) = 0;
};

/// The clients' side of a transport.
class Downstream {
  public:
    virtual ~Downstream() = default;
    virtual asio::ip::tcp::endpoint address() const = 0;
    /// The settings' bounds have changed.
    virtual void limit() = 0;
    /// Accepts no more; requests in flight are answered, each with its connection closed. `ended`,
    /// which may be called from within: no request of its clients can come any more.
    virtual void drain(std::function<void()> ended) = 0;
    /// Open connections of clients.
    virtual std::size_t connections() const = 0;
};

/// What a downstream reports to its gateway, which outlives it.
struct DownstreamHandler {
    std::function<void(std::shared_ptr<DownstreamRequest>)> arrived;
    std::function<void()> unrouted;  ///< One came that no route matches; it is answered.
};

struct GatewaySettings;

/// Makes the parts for a gateway, whose settings outlive them. downstream() throws
/// std::system_error where it can't listen.
class Transport {
  public:
    virtual ~Transport() = default;
    virtual std::unique_ptr<Downstream> downstream(const GatewaySettings &settings,
                                                   DownstreamHandler owner) const = 0;
    virtual std::unique_ptr<UpstreamPool> upstreams(const GatewaySettings &settings) const = 0;
    virtual std::unique_ptr<ControlPlaneClient> controlPlane(const GatewaySettings &settings,
                                                             ControlPlaneObserver owner) const = 0;
};

}  // namespace deckcart
