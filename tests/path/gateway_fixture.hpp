// What the path tests share: an event loop with a bound on every wait, a control plane, instances
// that follow a script byte by byte, a client that writes raw bytes, a clock that can be made to
// jump.
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

class JumpingClock final : public Clock {
  public:
    Duration now() const override { return held.value_or(steady.now() + ahead); }
    Duration ahead{};
    std::optional<Duration> held;  // time does not pass

  private:
    SteadyClock steady;
};

// What an instance does once it has read a whole request.
struct Reply {
    std::string bytes;
    enum class Then { keep, close, reset } then = Then::keep;
};
inline Reply ok(const std::string &body = "done", Reply::Then then = Reply::Then::keep) {
    return {"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
            then};
}
inline Reply status(int code, const std::string &headers = "") {
    return {"HTTP/1.1 " + std::to_string(code) + " X\r\n" + headers + "Content-Length: 0\r\n\r\n",
            Reply::Then::keep};
}

class ScriptedEndpoint {
  public:
    using Script = std::function<Reply(std::size_t nth, const std::string &request)>;
    ScriptedEndpoint(asio::io_context &io, Script what)
        : script(std::move(what)),
          acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
        accept();
    }
    EndpointId id() const { return format(acceptor.local_endpoint()); }
    std::vector<std::string> requests;
    std::size_t opened = 0, open = 0;

  private:
    struct Peer {
        explicit Peer(tcp::socket s) : socket(std::move(s)) {}
        tcp::socket socket;
        std::string in;
        std::array<char, 4096> buffer;
    };
    void accept() {
        acceptor.async_accept([this](asio::error_code fault, tcp::socket socket) {
            if (fault)
                return;
            ++opened, ++open;
            read(std::make_shared<Peer>(std::move(socket)));
            accept();
        });
    }
    void read(const std::shared_ptr<Peer> &peer) {
        peer->socket.async_read_some(
            asio::buffer(peer->buffer), [this, peer](asio::error_code fault, std::size_t n) {
                if (fault)
                    return void(--open);
                peer->in.append(peer->buffer.data(), n);
                const auto end = peer->in.find("\r\n\r\n");
                if (end == std::string::npos)
                    return read(peer);
                std::size_t length = 0;
                if (const auto at = peer->in.find("Content-Length: "); at < end)
                    length = std::stoul(peer->in.substr(at + 16));
                if (peer->in.size() < end + 4 + length)
                    return read(peer);
                const std::string request = peer->in.substr(0, end + 4 + length);
                peer->in.erase(0, end + 4 + length);
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
                        --open;
                    });
            });
    }
    Script script;
    tcp::acceptor acceptor;
};

inline ListedEndpoint listedAs(const EndpointId &id, BuildNumber build,
                               EndpointState state = EndpointState::active) {
    ListedEndpoint s;
    s.id = id, s.build = build, s.state = state;
    return s;
}

// Lists what it is given, takes votes, and tells changes to whoever watches.
class ScriptedControlPlane {
  public:
    explicit ScriptedControlPlane(asio::io_context &io)
        : listener(io, *parseAddress("127.0.0.1:0"), {},
                   [this](const std::shared_ptr<http::Exchange> &e) { serve(e); }) {}
    std::string address() const { return format(listener.address()); }
    void list(const EndpointId &id, BuildNumber build = 1,
              EndpointState state = EndpointState::active) {
        entries[id] = toJson(listedAs(id, build, state));
        const json event{{"version", ++version},
                         {"kind", "instances"},
                         {"instances", json::array({entries[id]})}};
        for (const auto &w : watchers)
            w->write(event.dump() + "\n");
    }
    RolloutStage stage{1, 0, RolloutPhase::released, 1, std::chrono::hours(1)};
    bool fails = false;
    int lists = 0, votes = 0;

  private:
    void serve(const std::shared_ptr<http::Exchange> &e) {
        http::ResponseHead head;
        head.status = fails ? 503 : 200;
        if (fails)
            return e->answer(head, "");
        if (e->head.target.starts_with("/v1/votes"))
            return ++votes, e->answer(head, toJson(stage).dump());
        if (e->head.target.find("watch=") != std::string::npos) {
            head.chunked = true;
            e->begin(head);
            watchers.push_back(e);
            if (e->head.target.ends_with("watch=" + std::to_string(version)))
                return;
            json missed = json::array();  // told again as a whole
            for (const auto &[id, entry] : entries)
                missed.push_back(entry);
            return e->write(
                json{{"version", version}, {"kind", "instances"}, {"instances", missed}}.dump() +
                "\n");
        }
        ++lists;
        json all = json::array();
        for (const auto &[id, entry] : entries)
            all.push_back(entry);
        e->answer(head,
                  json{{"version", version}, {"instances", all}, {"stage", toJson(stage)}}.dump());
    }
    std::map<EndpointId, json> entries;
    std::uint64_t version = 0;
    std::vector<std::shared_ptr<http::Exchange>> watchers;
    http::Listener listener;
};

class RawClient {
  public:
    RawClient(asio::io_context &io, const tcp::endpoint &to) : socket(io) {
        socket.connect(to);
        read();
    }
    void send(const std::string &bytes) {
        asio::error_code ignored;
        asio::write(socket, asio::buffer(bytes), ignored);
    }
    void hangUp() {
        asio::error_code ignored;
        socket.close(ignored);
    }
    // Status lines in the order they came.
    std::vector<int> statuses() const {
        std::vector<int> out;
        for (std::size_t at = 0; (at = in.find("HTTP/1.1 ", at)) != std::string::npos; at += 9)
            out.push_back(std::atoi(in.c_str() + at + 9));
        return out;
    }
    std::string in;
    bool closed = false, reading = true;

  private:
    void read() {
        socket.async_read_some(asio::buffer(buffer), [this, here = std::weak_ptr(alive)](
                                                         asio::error_code fault, std::size_t n) {
            if (here.expired())
                return;
            if (fault)
                return void(closed = true);
            in.append(buffer.data(), n);
            if (reading)
                read();
        });
    }
    tcp::socket socket;
    std::array<char, 16384> buffer;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

// A loop, run until something is so.
class Loop : public testing::Test {
  protected:
    // False after a bound that no sound run comes near.
    bool until(const std::function<bool()> &so, std::chrono::milliseconds most = 8s) {
        const auto end = std::chrono::steady_clock::now() + most;
        while (!so()) {
            if (std::chrono::steady_clock::now() > end)
                return false;
            io.restart();
            io.run_one_for(10ms);
        }
        return true;
    }
    // Lets what was dropped be told.
    void settleDown() {
        io.restart();
        io.run_for(1ms);
    }
    asio::io_context io;
    JumpingClock clock;
};

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
    ScriptedEndpoint &instance(ScriptedEndpoint::Script script) {
        auto &made = instances.emplace_back(io, std::move(script));
        controlPlane.list(made.id());
        return made;
    }
    void start() {
        auto read = parseSettings(document);
        ASSERT_TRUE(read.settings) << toJson(read.refused);
        gateway = std::make_unique<Gateway>(io, clock, *read.settings, 1, Log(),
                                            *parseAddress("127.0.0.1:0"));
        ASSERT_TRUE(until([&] { return gateway->stage().has_value(); }));
    }
    RawClient &client() { return clients.emplace_back(io, gateway->address()); }
    // Sends one request on a connection of its own and waits for its end.
    std::string ask(const std::string &path, const std::string &headers = "",
                    const std::string &method = "POST") {
        auto &c = client();
        c.send(method + " " + path + " HTTP/1.1\r\nHost: relay\r\nConnection: close\r\n" + headers +
               "\r\n");
        until([&] { return c.closed; });
        return c.in;
    }
    // So many requests at the same time, each of which must be completed.
    void askAtOnce(int n) {
        const auto first = long(clients.size());
        for (int k = 0; k < n; ++k)
            client().send("GET /x HTTP/1.1\r\nHost: relay\r\nConnection: close\r\n\r\n");
        EXPECT_TRUE(until([&] {
            return std::all_of(clients.begin() + first, clients.end(),
                               [](auto &c) { return c.closed; });
        }));
        EXPECT_TRUE(std::all_of(clients.begin() + first, clients.end(),
                                [](auto &c) { return statusOf(c.in) == 200; }));
    }
    static int statusOf(const std::string &answer) {
        return answer.size() > 12 ? std::atoi(answer.c_str() + 9) : 0;
    }
    static bool says(const std::string &answer, const std::string &what) {
        return answer.find(what) != std::string::npos;
    }

    ScriptedControlPlane controlPlane;
    json document;
    std::deque<ScriptedEndpoint> instances;
    std::unique_ptr<Gateway> gateway;
    std::deque<RawClient> clients;
};

}  // namespace deckcart::test
