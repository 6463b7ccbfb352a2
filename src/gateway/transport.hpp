// The ways in and out of a gateway: a request taken, a call to an instance, a probe, list and
// votes. What crosses them is the same whatever the protocol; HTTP's stand in http_transport.cpp, a
// platform's in src/platform/. Nothing behind them chooses an instance, sends again by itself, or
// holds a final answer back.
#pragma once

#include <asio/ip/tcp.hpp>
#include <deckcart/policy.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "../control_plane/control_plane_client.hpp"

namespace deckcart {

class UpstreamCall;

// What the module and the data path want to know of a request.
struct RequestAttributes {
    std::size_t route = 0;  // of GatewaySettings::routes
    int tenant = 0;         // past the end of the shares: one that is not named
    std::string key, name;  // name: the client's own id of it; empty: it gave none
    Duration wait{};        // from when it came until the client gives up
};

// A request that a client has sent; answered once: by shed, errored, completed, or begin, write and
// end. What is written after the client has gone goes nowhere.
class DownstreamRequest {
  public:
    virtual ~DownstreamRequest() = default;

    virtual bool open() const = 0;  // the client is there and no final answer has ended
    // Looks at the client's socket as well: its close may not have been read yet.
    virtual bool isClientConnected() const { return open(); }
    virtual void shed(const std::string &name, Duration retryAfter) = 0;
    virtual void errored(const std::string &name, bool late) = 0;
    virtual void completed(UpstreamCall &from, std::string_view answer) = 0;
    // An answer that is passed on as it comes.
    virtual void begin(UpstreamCall &from) = 0;
    virtual void write(std::string_view part) = 0;
    virtual void end() = 0;
    virtual void abort() = 0;                  // it can't be completed, and the client can tell
    virtual std::size_t waiting() const = 0;   // bytes that the client has not taken yet
    virtual void injectDuplicateResponse() {}  // a fault that rehearsals ask for

    RequestAttributes attributes;
    std::function<void()> onGone;     // the client has left before the answer's end
    std::function<void()> onDrained;  // what was waiting has been taken
};

// What a call tells its owner. After onCallEnd nothing more comes.
class CallObserver {
  public:
    virtual ~CallObserver() = default;
    virtual void onResponse(std::string_view part) = 0;
    virtual void onCallEnd(Outcome outcome) = 0;  // ok, or the truth of whether it may have run
};

// Asked once, when a connection is up and nothing is written yet: what is left of the client's wait
// then, or empty if the try must not go out any more.
using PreSendCheck = std::function<std::optional<Duration>()>;

// One try's way to an instance. Given back once, by release().
class UpstreamCall {
  public:
    virtual ~UpstreamCall() = default;
    // Sends what the client has sent. Never calls back from within.
    virtual void start(const DownstreamRequest &request, const std::string &name,
                       PreSendCheck preSendCheck, BuildNumber build, CallObserver *owner) = 0;
    // Whether the instance may have got the whole of it. What was not handed over can be withdrawn.
    virtual bool startedSending() const = 0;
    // Of a call that has ended its connection may serve on; else it is closed at once.
    virtual void release(Duration now) = 0;
    // Reads what has come already, which may end it: before it is given up.
    virtual void look() {}
    virtual void pause() {}
    virtual void resume() {}
};

class UpstreamPool {
  public:
    using ProbeCallback =
        std::function<void(std::vector<double> load)>;  // empty: the probe has failed
    virtual ~UpstreamPool() = default;
    // Empty when a bound is reached or the instance has no address.
    virtual std::shared_ptr<UpstreamCall> take(const EndpointId &endpoint) = 0;
    virtual void closeIdle(const EndpointId &endpoint) = 0;
    virtual void sweep(Duration now) = 0;  // ends connections that were idle for too long
    virtual Duration sweepEvery() const { return std::chrono::seconds(1); }
    virtual void probe(const EndpointId &endpoint, ProbeCallback done) = 0;
};

class Downstream {
  public:
    virtual ~Downstream() = default;
    virtual asio::ip::tcp::endpoint address() const = 0;
    virtual void limit() = 0;  // the settings' bounds have changed
    // Takes no more; requests in hand are answered, each with its connection closed. `ended`, which
    // may be called from within: no request of its clients can come any more.
    virtual void drain(std::function<void()> ended) = 0;
    virtual std::size_t connections() const = 0;
};
struct DownstreamHandler {
    std::function<void(std::shared_ptr<DownstreamRequest>)> arrived;
    std::function<void()> unrouted;  // one came that no route takes; it is answered
};

struct GatewaySettings;

// Makes the four for a gateway whose settings outlive them.
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
