// The cells of the rule table (tests/rules/table.csv) that need sockets: one non-retriable request
// is brought to a stage, a fault strikes, and what the client and the instances have seen is judged
// at the end.
#include "gateway_fixture.hpp"

namespace deckcart::test {
namespace {

// An instance in the test's hand. Its queue of connections is short, so that it can be filled:
// connects then hang.
struct Victim {
    explicit Victim(asio::io_context &context) : io(context), acceptor(io), peer(io) {
        acceptor.open(tcp::v4());
        acceptor.bind(tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        acceptor.listen(0);
        id = format(acceptor.local_endpoint());
    }
    void fill() {
        for (int k = 0; k < 4; ++k) {
            fillers.emplace_back(io);
            fillers.back().async_connect(acceptor.local_endpoint(), [](asio::error_code) {});
        }
    }
    void accept() {
        acceptor.async_accept(peer, [this](asio::error_code fault) {
            if (!fault)
                accepted = true;
        });
    }
    void read() {
        peer.async_read_some(asio::buffer(buffer), [this](asio::error_code fault, std::size_t n) {
            if (fault)
                return;
            in.append(buffer.data(), n);
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
    std::string in;
    std::array<char, 65536> buffer;
};

constexpr const char *kStages[] = {"connecting", "sending", "waiting", "answering"};
constexpr const char *kFaults[] = {
    "dies",        "hangs",    "resets",     "answerLost",      "slow",
    "full",        "refuses",  "bytesCut",   "trickles",        "resultLate",
    "resultTwice", "listLate", "listLost",   "listContradicts", "drain",
    "coldStart",   "deskLate", "deskSilent", "deskErrs",        "capLowered",
    "stalled",     "killed",   "shutdown",   "settings",        "surge"};

class Cells : public Path,
              public testing::WithParamInterface<std::tuple<std::string, std::string>> {};

TEST_P(Cells, RulesHold) {
    const auto &[stage, fault] = GetParam();
    const bool answering = stage == "answering";
    const std::string half =
        "HTTP/1.1 200 OK\r\nContent-Length: 8192\r\n\r\n" + std::string(4096, 'x');
    const std::string rest = answering ? std::string(4096, 'y') : half + std::string(4096, 'y');
    document["upstream"] = {
        {"connectWithinMs", 250}, {"heldAnswerBytes", 1024}, {"stalledMs", 200}};
    document["limits"] = {{"bodyBytes", 67108864}};
    Victim victim(io);
    controlPlane.list(victim.id);
    if (stage == "connecting")
        victim.fill();
    else
        victim.accept();
    start();
    auto &c = client();
    const std::size_t length = stage == "sending" ? 16 * 1024 * 1024 : 4;
    const std::string head =
        "POST /once HTTP/1.1\r\nHost: r\r\nX-Remaining-Ms: 300\r\nContent-Length: ";
    std::string request = head + std::to_string(length) + "\r\n\r\n" + std::string(length, 'b');
    std::size_t at = 0;  // handed over piece by piece: the gateway reads in this same loop
    ASSERT_TRUE(until([&] {
        const auto piece = std::min<std::size_t>(request.size() - at, 12288);
        if (piece > 0)
            c.send(request.substr(at, piece)), at += piece;
        return gateway->counts().attempts == 1;
    }));
    ASSERT_TRUE(stage == "connecting" || until([&] { return victim.accepted; }));
    if (stage == "waiting" || answering) {
        victim.read();
        ASSERT_TRUE(until([&] { return victim.in.ends_with("bbbb"); }));
    }
    if (answering) {
        victim.write(half);
        ASSERT_TRUE(until([&] { return !c.in.empty(); }));
    }

    auto &other = instances.emplace_back(io, [](auto, auto &) { return ok(); });
    const auto listed = [&](const EndpointId &id, EndpointState as) {
        controlPlane.list(id, 1, as);
    };
    if (fault == "dies")
        victim.acceptor.close(), victim.close(true);
    if (fault == "resets")
        victim.close(true);
    if (fault == "answerLost")
        victim.close(false);
    if (fault == "refuses")
        victim.acceptor.close();
    if (fault == "bytesCut")
        victim.write(answering ? "yy" : "HTTP/1.1 20"), victim.close(false);
    if (fault == "full")
        victim.write(status(503, "X-Instance-Full: 1\r\n").bytes), victim.close(false);
    if (fault == "listLate" || fault == "drain")
        listed(victim.id, EndpointState::draining);
    if (fault == "listContradicts")
        for (const auto as : {EndpointState::draining, EndpointState::active,
                              EndpointState::removed, EndpointState::active})
            listed(victim.id, as);
    if (fault == "coldStart")
        controlPlane.list(other.id(), 2);
    if (fault == "listLost" || fault == "deskErrs" || fault == "deskSilent")
        controlPlane.fails = true;
    if (fault == "deskLate" || fault == "capLowered")
        controlPlane.stage = {2, 0, RolloutPhase::canary, 0, Duration{0}};
    if (fault == "stalled")
        clock.ahead = 1500ms;
    if (fault == "settings") {
        document["release"] = {{"spareTries", 9}};
        gateway->apply(*parseSettings(document).settings, true);
    }
    bool drained = false;
    if (fault == "shutdown")
        gateway->drain([&] { drained = true; });
    if (fault == "killed")
        gateway.reset();
    if (fault == "surge")
        for (int k = 0; k < 50; ++k)
            client().send("GET /x HTTP/1.1\r\nHost: r\r\nX-Remaining-Ms: 300\r\n\r\n");
    listed(other.id(), EndpointState::active);
    const bool goesOn = fault == "slow" || fault == "trickles" || fault == "resultTwice";
    if (goesOn && stage != "sending" && stage != "connecting") {
        for (std::size_t k = 0; fault == "trickles" && k < 64; ++k)
            victim.write(rest.substr(k, 1));
        victim.write(fault == "trickles" ? rest.substr(64) : rest);
        if (fault == "resultTwice")
            victim.write(half + rest);
    }

    // One end at the client, by its time: an answer, or the connection cut where one had begun or
    // all was killed.
    const auto ended = [&] {
        return c.closed || (c.statuses().size() == 1 && !answering) || c.in.ends_with("yyyy");
    };
    EXPECT_TRUE(until(ended, 2500ms));
    EXPECT_LE(c.statuses().size(), 1u);
    EXPECT_TRUE(c.statuses().size() == 1 || fault == "killed");
    if (fault == "resultLate")
        victim.write(rest);
    if (!gateway)
        return;
    EXPECT_TRUE(until([&] { return gateway->inHand() == 0; }, 2500ms)) << "nothing of it is left";
    const auto attempts = gateway->counts().attempts;
    const auto decisions = gateway->counts().decisions;
    ASSERT_TRUE(fault == "shutdown" ||
                until([&] { return gateway->counts().decisions > decisions + 5; }));
    EXPECT_EQ(gateway->counts().attempts, attempts) << "nothing more is sent for it";
    EXPECT_EQ(c.statuses().size(), 1u);
    // Bytes of it at one instance at most, but for one that says it was full.
    std::size_t there = stage == "connecting" ? 0 : 1;
    for (const auto &got : other.requests)
        there += says(got, "/once");
    EXPECT_LE(there, fault == "full" ? 2u : 1u);
    EXPECT_EQ(gateway->counts().overdue, fault == "stalled" ? gateway->counts().overdue : 0u);
    EXPECT_TRUE(fault != "shutdown" || until([&] { return drained; }));
}

// Those that can happen; the table says why the others cannot.
std::vector<Cells::ParamType> cells() {
    std::vector<Cells::ParamType> out;
    const auto one = [](const std::string &fault, std::initializer_list<const char *> of) {
        return std::ranges::find(of, fault) != of.end();
    };
    for (const std::string stage : kStages)
        for (const std::string fault : kFaults) {
            if (stage == "connecting" &&
                one(fault, {"resets", "answerLost", "slow", "full", "bytesCut", "trickles",
                            "resultLate", "resultTwice"}))
                continue;
            if (stage != "connecting" && fault == "refuses")
                continue;
            if (stage == "answering" && fault == "full")
                continue;
            out.push_back({stage, fault});
        }
    return out;
}
std::string cellName(const testing::TestParamInfo<Cells::ParamType> &of) {
    return std::get<0>(of.param) + "_" + std::get<1>(of.param);
}
INSTANTIATE_TEST_SUITE_P(Table, Cells, testing::ValuesIn(cells()), cellName);

}  // namespace
}  // namespace deckcart::test
