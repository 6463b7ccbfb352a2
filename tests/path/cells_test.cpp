// The cells of the rule table (tests/rules/table.txt) that need sockets. Each test brings one
// non-retriable request to a stage, injects a fault, and then checks what the client and the
// endpoints have seen: one end for the client, and at most one endpoint that the request reached.
#include "gateway_fixture.hpp"

namespace deckcart::test {
namespace {

// The endpoint that the fault hits, driven step by step. Its listen queue is short; once it is
// full, connects hang.
struct Victim {
    explicit Victim(asio::io_context &context) : io(context), acceptor(io), peer(io) {
        acceptor.open(tcp::v4());
        acceptor.bind(tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        acceptor.listen(0);
        id = format(acceptor.local_endpoint());
    }
    void fillListenQueue() {
        for (int i = 0; i < 4; ++i) {
            fillers.emplace_back(io);
            fillers.back().async_connect(acceptor.local_endpoint(), [](asio::error_code) {});
        }
    }
    void accept() {
        acceptor.async_accept(peer, [this](asio::error_code error) {
            if (!error)
                accepted = true;
        });
    }
    void read() {
        peer.async_read_some(asio::buffer(buffer),
                             [this](asio::error_code error, std::size_t length) {
                                 if (error)
                                     return;
                                 received.append(buffer.data(), length);
                                 read();
                             });
    }
    void write(const std::string &bytes) {
        asio::error_code ignored;
        if (accepted)
            asio::write(peer, asio::buffer(bytes), ignored);
    }
    void close(bool reset) {
        asio::error_code ignored;
        if (reset && accepted)
            peer.set_option(asio::socket_base::linger(true, 0), ignored);
        peer.close(ignored);
    }
    asio::io_context &io;
    tcp::acceptor acceptor;
    tcp::socket peer;
    EndpointId id;
    std::deque<tcp::socket> fillers;
    bool accepted = false;
    std::string received;
    std::array<char, 65536> buffer;
};

constexpr const char *kStages[] = {"connecting", "sending", "waiting", "answering"};
constexpr const char *kFaults[] = {
    "dies",        "hangs",    "resets",     "answerLost",      "slow",
    "full",        "refuses",  "bytesCut",   "trickles",        "resultLate",
    "resultTwice", "listLate", "listLost",   "listContradicts", "drain",
    "coldStart",   "deskLate", "deskSilent", "deskErrs",        "capLowered",
    "stalled",     "killed",   "shutdown",   "settings",        "surge"};

struct Cell {
    std::string stage, fault;
};
// The name is prescribed by GoogleTest. NOLINTNEXTLINE(readability-identifier-naming)
void PrintTo(const Cell &cell, std::ostream *out) {
    *out << "(\"" << cell.stage << "\", \"" << cell.fault << "\")";
}

const std::string kHalfResponse =
    "HTTP/1.1 200 OK\r\nContent-Length: 8192\r\n\r\n" + std::string(4096, 'x');

class Cells : public Path, public testing::WithParamInterface<Cell> {
  protected:
    bool isAtStage(const std::string &stage) const { return GetParam().stage == stage; }
    bool faultIs(const std::string &fault) const { return GetParam().fault == fault; }
    void list(const EndpointId &id, EndpointState state) { controlPlane.list(id, 1, state); }
    // The part of the victim's response that it has not sent yet.
    std::string remainingResponse() const {
        const std::string secondHalf(4096, 'y');
        return isAtStage("answering") ? secondHalf : kHalfResponse + secondHalf;
    }

    void startWithVictim() {
        document["upstream"] = {
            {"connectWithinMs", 250}, {"heldAnswerBytes", 1024}, {"stalledMs", 200}};
        document["limits"] = {{"bodyBytes", 67108864}};
        controlPlane.list(victim.id);
        if (isAtStage("connecting"))
            victim.fillListenQueue();
        else
            victim.accept();
        start();
    }

    void bringToStage(RawClient &sender) {
        const std::size_t bodyLength = isAtStage("sending") ? 16 * 1024 * 1024 : 4;
        const std::string head =
            "POST /once HTTP/1.1\r\nHost: r\r\nX-Remaining-Ms: 300\r\nContent-Length: ";
        const std::string request =
            head + std::to_string(bodyLength) + "\r\n\r\n" + std::string(bodyLength, 'b');
        std::size_t sent = 0;  // in pieces, as the gateway reads on this same thread
        ASSERT_TRUE(until([&] {
            const auto piece = std::min<std::size_t>(request.size() - sent, 12288);
            if (piece > 0) {
                sender.send(request.substr(sent, piece));
                sent += piece;
            }
            return gateway->counts().attempts == 1;
        }));
        ASSERT_TRUE(isAtStage("connecting") || until([&] { return victim.accepted; }));
        if (isAtStage("waiting") || isAtStage("answering")) {
            victim.read();
            ASSERT_TRUE(until([&] { return victim.received.ends_with("bbbb"); }));
        }
        if (isAtStage("answering")) {
            victim.write(kHalfResponse);
            ASSERT_TRUE(until([&] { return !sender.in.empty(); }));
        }
    }

    void injectConnectionFault() {
        if (faultIs("dies")) {
            victim.acceptor.close();
            victim.close(true);
        }
        if (faultIs("resets"))
            victim.close(true);
        if (faultIs("answerLost"))
            victim.close(false);
        if (faultIs("refuses"))
            victim.acceptor.close();
        if (faultIs("bytesCut")) {
            victim.write(isAtStage("answering") ? "yy" : "HTTP/1.1 20");
            victim.close(false);
        }
        if (faultIs("full")) {
            victim.write(status(503, "X-Instance-Full: 1\r\n").bytes);
            victim.close(false);
        }
    }

    void injectControlPlaneFault(const EndpointId &other) {
        if (faultIs("listLate") || faultIs("drain"))
            list(victim.id, EndpointState::draining);
        if (faultIs("listContradicts"))
            for (const auto state : {EndpointState::draining, EndpointState::active,
                                     EndpointState::removed, EndpointState::active})
                list(victim.id, state);
        if (faultIs("coldStart"))
            controlPlane.list(other, 2);
        if (faultIs("listLost") || faultIs("deskErrs") || faultIs("deskSilent"))
            controlPlane.unavailable = true;
        if (faultIs("deskLate") || faultIs("capLowered"))
            controlPlane.stage = {2, 0, RolloutPhase::canary, 0, Duration{0}};
    }

    void injectGatewayFault() {
        if (faultIs("stalled"))
            clock.ahead = 1500ms;
        if (faultIs("settings")) {
            document["release"] = {{"spareTries", 9}};
            gateway->applySettings(*parseSettings(document).settings, true);
        }
        if (faultIs("shutdown"))
            gateway->drain([this] { drained = true; });
        if (faultIs("killed"))
            gateway.reset();
        if (faultIs("surge"))
            for (int i = 0; i < 50; ++i)
                client().send("GET /x HTTP/1.1\r\nHost: r\r\nX-Remaining-Ms: 300\r\n\r\n");
    }

    // Sends the rest of the victim's response, for the faults that consist in how it is sent.
    void continueResponse() {
        const bool continues = faultIs("slow") || faultIs("trickles") || faultIs("resultTwice");
        if (!continues || isAtStage("sending") || isAtStage("connecting"))
            return;
        const std::string bytes = remainingResponse();
        const std::size_t singleBytes = faultIs("trickles") ? 64 : 0;
        for (std::size_t i = 0; i < singleBytes; ++i)
            victim.write(bytes.substr(i, 1));
        victim.write(bytes.substr(singleBytes));
        if (faultIs("resultTwice"))
            victim.write(kHalfResponse + bytes);
    }

    void checkNothingRemains(const RawClient &sender, const ScriptedEndpoint &other) {
        EXPECT_TRUE(until([&] { return gateway->requestsInFlight() == 0; }, 2500ms))
            << "expected no request to be left in flight";
        const auto attempts = gateway->counts().attempts;
        const auto decisions = gateway->counts().decisions;
        ASSERT_TRUE(faultIs("shutdown") ||
                    until([&] { return gateway->counts().decisions > decisions + 5; }));
        EXPECT_EQ(gateway->counts().attempts, attempts)
            << "expected no further attempts once the request has ended";
        EXPECT_EQ(sender.statuses().size(), 1u);
        // The request may reach one endpoint, and a second one only after an overload response.
        std::size_t endpointsReached = isAtStage("connecting") ? 0 : 1;
        for (const auto &request : other.requests)
            endpointsReached += contains(request, "/once");
        EXPECT_LE(endpointsReached, faultIs("full") ? 2u : 1u);
        EXPECT_EQ(gateway->counts().failedByDataPath,
                  faultIs("stalled") ? gateway->counts().failedByDataPath : 0u);
        EXPECT_TRUE(!faultIs("shutdown") || until([&] { return drained; }));
    }

    Victim victim{io};
    bool drained = false;
};

// A fault at any stage could make the gateway send the request twice, answer it twice or not at
// all, or leave it in flight forever.
TEST_P(Cells, RulesHold) {
    startWithVictim();
    auto &sender = client();
    bringToStage(sender);
    if (HasFatalFailure())
        return;
    auto &other = instances.emplace_back(io, [](auto, auto &) { return ok(); });
    injectConnectionFault();
    injectControlPlaneFault(other.id());
    injectGatewayFault();
    list(other.id(), EndpointState::active);
    continueResponse();

    // The request ends once for the client, in time: with a response, or with a closed connection
    // where the response had begun or the gateway was killed.
    const auto ended = [&] {
        return sender.closed || (sender.statuses().size() == 1 && !isAtStage("answering")) ||
               sender.in.ends_with("yyyy");
    };
    EXPECT_TRUE(until(ended, 2500ms));
    EXPECT_LE(sender.statuses().size(), 1u);
    EXPECT_TRUE(sender.statuses().size() == 1 || faultIs("killed"));
    if (faultIs("resultLate"))
        victim.write(remainingResponse());
    if (gateway)
        checkNothingRemains(sender, other);
}

// All combinations that can occur; the rule table says why the others can't.
std::vector<Cell> cells() {
    std::vector<Cell> possible;
    const auto isOneOf = [](const std::string &fault, std::initializer_list<const char *> faults) {
        return std::ranges::find(faults, fault) != faults.end();
    };
    for (const std::string stage : kStages)
        for (const std::string fault : kFaults) {
            if (stage == "connecting" &&
                isOneOf(fault, {"resets", "answerLost", "slow", "full", "bytesCut", "trickles",
                                "resultLate", "resultTwice"}))
                continue;
            if (stage != "connecting" && fault == "refuses")
                continue;
            if (stage == "answering" && fault == "full")
                continue;
            possible.push_back({stage, fault});
        }
    return possible;
}
std::string cellName(const testing::TestParamInfo<Cell> &info) {
    return info.param.stage + "_" + info.param.fault;
}
INSTANTIATE_TEST_SUITE_P(Table, Cells, testing::ValuesIn(cells()), cellName);

}  // namespace
}  // namespace deckcart::test
