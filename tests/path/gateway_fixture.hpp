// Fixture of the path tests: an event loop whose waits all have a timeout, a clock that tests can
// shift or freeze, endpoints and a control plane that reply as scripted, and a client that sends
// raw bytes.
#pragma once

#include <gtest/gtest.h>

#include <deque>
#include <functional>

#include "../../src/base/address.hpp"
#include "../../src/gateway/gateway.hpp"

namespace deckcart::test {

using asio::ip::tcp;
using nlohmann::json;
using namespace std::chrono_literals;

/// A steady clock that a test can shift forward or freeze. Timers of the event loop don't follow
/// it.
class AdjustableClock final : public Clock {
  public:
    Duration now() const override { return held.value_or(steady.now() + ahead); }
    Duration ahead{};              ///< offset from the steady clock
    std::optional<Duration> held;  ///< the frozen time; takes precedence over the offset

  private:
    SteadyClock steady;
};

/// What an endpoint writes once it has read a whole request, and what it does with the connection
/// afterwards.
struct Reply {
    std::string bytes;
    enum class Then { keep, close, reset } then = Then::keep;
};
/// 200 with the body.
inline Reply ok(const std::string &body = "done", Reply::Then then = Reply::Then::keep) {
    return {"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
            then};
}
/// A response without a body. Each of `headers` ends in CRLF.
inline Reply status(int code, const std::string &headers = "") {
    return {"HTTP/1.1 " + std::to_string(code) + " X\r\n" + headers + "Content-Length: 0\r\n\r\n",
            Reply::Then::keep};
}

/// An HTTP endpoint on loopback that answers each request with the bytes that its script returns.
class ScriptedEndpoint {
  public:
    /// `requestIndex` counts from 0 over all connections. An empty reply leaves the request
    /// unanswered.
    using Script = std::function<Reply(std::size_t requestIndex, const std::string &request)>;
    ScriptedEndpoint(asio::io_context &io, Script responseScript)
        : script(std::move(responseScript)),
          acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
        accept();
    }
    EndpointId id() const { return format(acceptor.local_endpoint()); }
    std::vector<std::string> requests;  ///< whole requests in the order of their arrival
    /// Connections accepted so far, and those still open.
    std::size_t acceptedConnections = 0, openConnections = 0;

  private:
    struct Peer {
        explicit Peer(tcp::socket accepted) : socket(std::move(accepted)) {}
        tcp::socket socket;
        std::string received;
        std::array<char, 4096> buffer;
    };
    void accept() {
        acceptor.async_accept([this](asio::error_code error, tcp::socket socket) {
            if (error)
                return;
            ++acceptedConnections, ++openConnections;
            read(std::make_shared<Peer>(std::move(socket)));
            accept();
        });
    }
    void read(const std::shared_ptr<Peer> &peer) {
        peer->socket.async_read_some(
            asio::buffer(peer->buffer), [this, peer](asio::error_code error, std::size_t length) {
                if (error)
                    return void(--openConnections);
                peer->received.append(peer->buffer.data(), length);
                const auto headEnd = peer->received.find("\r\n\r\n");
                if (headEnd == std::string::npos)
                    return read(peer);
                std::size_t bodyLength = 0;
                if (const auto at = peer->received.find("Content-Length: "); at < headEnd)
                    bodyLength = std::stoul(peer->received.substr(at + 16));
                if (peer->received.size() < headEnd + 4 + bodyLength)
                    return read(peer);
                const std::string request = peer->received.substr(0, headEnd + 4 + bodyLength);
                peer->received.erase(0, headEnd + 4 + bodyLength);
                requests.push_back(request);
                const Reply reply = script(requests.size() - 1, request);
                const auto bytes = std::make_shared<std::string>(reply.bytes);
                asio::async_write(
                    peer->socket, asio::buffer(*bytes),
                    [this, peer, bytes, then = reply.then](asio::error_code, std::size_t) {
                        asio::error_code ignored;
                        if (then == Reply::Then::keep)
                            return read(peer);
                        if (then == Reply::Then::reset)
                            peer->socket.set_option(asio::socket_base::linger(true, 0), ignored);
                        peer->socket.close(ignored);
                        --openConnections;
                    });
            });
    }
    Script script;
    tcp::acceptor acceptor;
};

inline ListedEndpoint makeListedEndpoint(const EndpointId &id, BuildNumber build,
                                         EndpointState state = EndpointState::active) {
    ListedEndpoint entry;
    entry.id = id, entry.build = build, entry.state = state;
    return entry;
}

/// A control plane that serves the endpoint list and the rollout stage it is given, sends each
/// change of the list to all watches, and accepts votes.
class ScriptedControlPlane {
  public:
    explicit ScriptedControlPlane(asio::io_context &io)
        : listener(io, *parseAddress("127.0.0.1:0"), {},
                   [this](const std::shared_ptr<http::Exchange> &exchange) { serve(exchange); }) {}
    std::string address() const { return format(listener.address()); }
    /// Adds or changes an endpoint and sends the change to all watches.
    void list(const EndpointId &id, BuildNumber build = 1,
              EndpointState state = EndpointState::active) {
        entries[id] = toJson(makeListedEndpoint(id, build, state));
        const json event{{"version", ++version},
                         {"kind", "instances"},
                         {"instances", json::array({entries[id]})}};
        for (const auto &watch : watches)
            watch->write(event.dump() + "\n");
    }
    RolloutStage stage{1, 0, RolloutPhase::released, 1, std::chrono::hours(1)};
    bool unavailable = false;  ///< answers everything with 503
    /// Successful requests for the whole list, and votes received.
    int listRequests = 0, votes = 0;

  private:
    void serve(const std::shared_ptr<http::Exchange> &exchange) {
        http::ResponseHead head;
        head.status = unavailable ? 503 : 200;
        if (unavailable)
            return exchange->answer(head, "");
        if (exchange->head.target.starts_with("/v1/votes"))
            return ++votes, exchange->answer(head, toJson(stage).dump());
        if (exchange->head.target.find("watch=") != std::string::npos) {
            head.chunked = true;
            exchange->begin(head);
            watches.push_back(exchange);
            if (exchange->head.target.ends_with("watch=" + std::to_string(version)))
                return;
            json all = json::array();  // the watcher's version is outdated: send the whole list
            for (const auto &[id, entry] : entries)
                all.push_back(entry);
            return exchange->write(
                json{{"version", version}, {"kind", "instances"}, {"instances", all}}.dump() +
                "\n");
        }
        ++listRequests;
        json all = json::array();
        for (const auto &[id, entry] : entries)
            all.push_back(entry);
        exchange->answer(
            head, json{{"version", version}, {"instances", all}, {"stage", toJson(stage)}}.dump());
    }
    std::map<EndpointId, json> entries;
    std::uint64_t version = 0;
    std::vector<std::shared_ptr<http::Exchange>> watches;
    http::Listener listener;
};

/// A client connection on which a test writes raw bytes and collects those that come back.
class RawClient {
  public:
    RawClient(asio::io_context &io, const tcp::endpoint &server) : socket(io) {
        socket.connect(server);
        read();
    }
    void send(const std::string &bytes) {
        asio::error_code ignored;
        asio::write(socket, asio::buffer(bytes), ignored);
    }
    /// Sends as the server reads, while the test runs the loop.
    void sendInBackground(std::string bytes) {
        const auto kept = std::make_shared<std::string>(std::move(bytes));
        asio::async_write(socket, asio::buffer(*kept), [kept](asio::error_code, std::size_t) {});
    }
    void hangUp() {
        asio::error_code ignored;
        socket.close(ignored);
    }
    /// Status codes in the order in which their responses came, interim ones included.
    std::vector<int> statuses() const {
        std::vector<int> codes;
        for (std::size_t at = 0; (at = in.find("HTTP/1.1 ", at)) != std::string::npos; at += 9)
            codes.push_back(std::atoi(in.c_str() + at + 9));
        return codes;
    }
    std::string in;  ///< all bytes received
    /// `closed`: the server has closed the connection. `reading`: set to false, the client reads
    /// one more piece and then leaves everything else in the socket's buffer.
    bool closed = false, reading = true;

  private:
    void read() {
        socket.async_read_some(
            asio::buffer(buffer),
            [this, owner = std::weak_ptr(alive)](asio::error_code error, std::size_t length) {
                if (owner.expired())
                    return;
                if (error)
                    return void(closed = true);
                in.append(buffer.data(), length);
                if (reading)
                    read();
            });
    }
    tcp::socket socket;
    std::array<char, 16384> buffer;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

/// A test that runs the event loop itself, on its own thread.
class Loop : public testing::Test {
  protected:
    /// Runs the loop until the condition holds. False after the timeout; the default is far longer
    /// than any correct run takes.
    bool until(const std::function<bool()> &condition, std::chrono::milliseconds timeout = 8s) {
        const auto end = std::chrono::steady_clock::now() + timeout;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > end)
                return false;
            io.restart();
            io.run_one_for(10ms);
        }
        return true;
    }
    /// Runs the handlers that are ready, such as those of operations just cancelled.
    void settleDown() {
        io.restart();
        io.run_for(1ms);
    }
    asio::io_context io;
    AdjustableClock clock;
};

/// A gateway between a RawClient, scripted endpoints and a scripted control plane, all on loopback.
class Path : public Loop {
  protected:
    Path() : controlPlane(io) {
        document = json::parse(R"({
          "gateway": {"id": "g", "seed": 1},
          "routes": [
            {"name": "once", "pathPrefix": "/once", "effect": "non-retriable", "latencyObjectiveMs": 2000, "routeTimeoutMs": 4000},
            {"name": "deduped", "pathPrefix": "/deduped", "effect": "deduped", "repeatWindowMs": 5000, "latencyObjectiveMs": 2000, "routeTimeoutMs": 4000},
            {"name": "short", "pathPrefix": "/short", "effect": "non-retriable", "latencyObjectiveMs": 200, "routeTimeoutMs": 300},
            {"name": "any", "pathPrefix": "/", "effect": "retriable", "latencyObjectiveMs": 2000, "routeTimeoutMs": 4000}]})");
        document["desk"] = {{"address", controlPlane.address()}};
    }
    void TearDown() override {
        clients.clear();
        gateway.reset();
        settleDown();
    }
    /// Starts an endpoint and lists it with build 1.
    ScriptedEndpoint &addEndpoint(ScriptedEndpoint::Script script) {
        auto &added = instances.emplace_back(io, std::move(script));
        controlPlane.list(added.id());
        return added;
    }
    /// Starts the gateway with `document` as its settings and waits for the first rollout stage.
    void start() {
        auto read = parseSettings(document);
        ASSERT_TRUE(read.settings) << toJson(read.refused);
        gateway = std::make_unique<Gateway>(io, clock, *read.settings, 1, Log(),
                                            *parseAddress("127.0.0.1:0"));
        ASSERT_TRUE(until([&] { return gateway->stage().has_value(); }));
    }
    RawClient &client() { return clients.emplace_back(io, gateway->address()); }
    /// Sends one request on a new connection and returns all that came back before the gateway
    /// closed it.
    std::string ask(const std::string &path, const std::string &headers = "",
                    const std::string &method = "POST") {
        auto &connection = client();
        connection.send(method + " " + path + " HTTP/1.1\r\nHost: relay\r\nConnection: close\r\n" +
                        headers + "\r\n");
        until([&] { return connection.closed; });
        return connection.in;
    }
    /// Sends `count` requests at the same time, each on its own connection; all must end with 200.
    void sendConcurrentRequests(int count) {
        const auto first = long(clients.size());
        for (int i = 0; i < count; ++i)
            client().send("GET /x HTTP/1.1\r\nHost: relay\r\nConnection: close\r\n\r\n");
        EXPECT_TRUE(until([&] {
            return std::all_of(clients.begin() + first, clients.end(),
                               [](auto &connection) { return connection.closed; });
        }));
        EXPECT_TRUE(std::all_of(clients.begin() + first, clients.end(),
                                [](auto &connection) { return statusOf(connection.in) == 200; }));
    }
    /// The status code of a response; 0 for none.
    static int statusOf(const std::string &response) {
        return response.size() > 12 ? std::atoi(response.c_str() + 9) : 0;
    }
    static bool contains(const std::string &text, const std::string &part) {
        return text.find(part) != std::string::npos;
    }

    ScriptedControlPlane controlPlane;
    json document;  ///< the gateway's settings
    std::deque<ScriptedEndpoint> instances;
    std::unique_ptr<Gateway> gateway;
    std::deque<RawClient> clients;
};

}  // namespace deckcart::test
