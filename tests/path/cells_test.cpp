// The cells of the rule table (tests/rules/table.txt) that need sockets: one non-retriable request
// is brought to a stage, a fault strikes, and what the client and the instances have seen is judged
// at the end.
#include "gateway_fixture.hpp"

namespace deckcart::test {
namespace {

// An endpoint that the test drives. Its queue of connections is short, so that it can be filled:
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

struct Cell {
    std::string stage, fault;
};
// The name is prescribed by GoogleTest. NOLINTNEXTLINE(readability-identifier-naming)
void PrintTo(const Cell &cell, std::ostream *out) {
    *out << "(\"" << cell.stage << "\", \"" << cell.fault << "\")";
}

const std::string kHalf =
    "HTTP/1.1 200 OK\r\nContent-Length: 8192\r\n\r\n" + std::string(4096, 'x');

class Cells : public Path, public testing::WithParamInterface<Cell> {
  protected:
    bool at(const std::string &stage) const { return GetParam().stage == stage; }
    bool struckBy(const std::string &fault) const { return GetParam().fault == fault; }
    void list(const EndpointId &id, EndpointState state) { controlPlane.list(id, 1, state); }
    // What is left of the victim's response.
    std::string rest() const {
        const std::string end(4096, 'y');
        return at("answering") ? end : kHalf + end;
    }

    void startWithVictim() {
        document["upstream"] = {
            {"connectWithinMs", 250}, {"heldAnswerBytes", 1024}, {"stalledMs", 200}};
        document["limits"] = {{"bodyBytes", 67108864}};
        controlPlane.list(victim.id);
        if (at("connecting"))
            victim.fill();
        else
            victim.accept();
        start();
    }

    void bringToStage(RawClient &sender) {
        const std::size_t length = at("sending") ? 16 * 1024 * 1024 : 4;
        const std::string head =
            "POST /once HTTP/1.1\r\nHost: r\r\nX-Remaining-Ms: 300\r\nContent-Length: ";
        const std::string request =
            head + std::to_string(length) + "\r\n\r\n" + std::string(length, 'b');
        std::size_t sent = 0;  // handed over piece by piece: the gateway reads in this same loop
        ASSERT_TRUE(until([&] {
            const auto piece = std::min<std::size_t>(request.size() - sent, 12288);
            if (piece > 0) {
                sender.send(request.substr(sent, piece));
                sent += piece;
            }
            return gateway->counts().attempts == 1;
        }));
        ASSERT_TRUE(at("connecting") || until([&] { return victim.accepted; }));
        if (at("waiting") || at("answering")) {
            victim.read();
            ASSERT_TRUE(until([&] { return victim.in.ends_with("bbbb"); }));
        }
        if (at("answering")) {
            victim.write(kHalf);
            ASSERT_TRUE(until([&] { return !sender.in.empty(); }));
        }
    }

    void strikeConnection() {
        if (struckBy("dies")) {
            victim.acceptor.close();
            victim.close(true);
        }
        if (struckBy("resets"))
            victim.close(true);
        if (struckBy("answerLost"))
            victim.close(false);
        if (struckBy("refuses"))
            victim.acceptor.close();
        if (struckBy("bytesCut")) {
            victim.write(at("answering") ? "yy" : "HTTP/1.1 20");
            victim.close(false);
        }
        if (struckBy("full")) {
            victim.write(status(503, "X-Instance-Full: 1\r\n").bytes);
            victim.close(false);
        }
    }

    void strikeControlPlane(const EndpointId &other) {
        if (struckBy("listLate") || struckBy("drain"))
            list(victim.id, EndpointState::draining);
        if (struckBy("listContradicts"))
            for (const auto state : {EndpointState::draining, EndpointState::active,
                                     EndpointState::removed, EndpointState::active})
                list(victim.id, state);
        if (struckBy("coldStart"))
            controlPlane.list(other, 2);
        if (struckBy("listLost") || struckBy("deskErrs") || struckBy("deskSilent"))
            controlPlane.fails = true;
        if (struckBy("deskLate") || struckBy("capLowered"))
            controlPlane.stage = {2, 0, RolloutPhase::canary, 0, Duration{0}};
    }

    void strikeGateway() {
        if (struckBy("stalled"))
            clock.ahead = 1500ms;
        if (struckBy("settings")) {
            document["release"] = {{"spareTries", 9}};
            gateway->applySettings(*parseSettings(document).settings, true);
        }
        if (struckBy("shutdown"))
            gateway->drain([this] { drained = true; });
        if (struckBy("killed"))
            gateway.reset();
        if (struckBy("surge"))
            for (int k = 0; k < 50; ++k)
                client().send("GET /x HTTP/1.1\r\nHost: r\r\nX-Remaining-Ms: 300\r\n\r\n");
    }

    // The victim goes on with its response where the fault is in how it does.
    void goOn() {
        const bool goesOn = struckBy("slow") || struckBy("trickles") || struckBy("resultTwice");
        if (!goesOn || at("sending") || at("connecting"))
            return;
        const std::string bytes = rest();
        const std::size_t singly = struckBy("trickles") ? 64 : 0;
        for (std::size_t k = 0; k < singly; ++k)
            victim.write(bytes.substr(k, 1));
        victim.write(bytes.substr(singly));
        if (struckBy("resultTwice"))
            victim.write(kHalf + bytes);
    }

    void checkNothingIsLeft(const RawClient &sender, const ScriptedEndpoint &other) {
        EXPECT_TRUE(until([&] { return gateway->requestsInFlight() == 0; }, 2500ms))
            << "nothing of it is left";
        const auto attempts = gateway->counts().attempts;
        const auto decisions = gateway->counts().decisions;
        ASSERT_TRUE(struckBy("shutdown") ||
                    until([&] { return gateway->counts().decisions > decisions + 5; }));
        EXPECT_EQ(gateway->counts().attempts, attempts) << "nothing more is sent for it";
        EXPECT_EQ(sender.statuses().size(), 1u);
        // Bytes of it at one endpoint at most, but for one that says it was overloaded.
        std::size_t reached = at("connecting") ? 0 : 1;
        for (const auto &request : other.requests)
            reached += says(request, "/once");
        EXPECT_LE(reached, struckBy("full") ? 2u : 1u);
        EXPECT_EQ(gateway->counts().failedByDataPath,
                  struckBy("stalled") ? gateway->counts().failedByDataPath : 0u);
        EXPECT_TRUE(!struckBy("shutdown") || until([&] { return drained; }));
    }

    Victim victim{io};
    bool drained = false;
};

TEST_P(Cells, RulesHold) {
    startWithVictim();
    auto &sender = client();
    bringToStage(sender);
    if (HasFatalFailure())
        return;
    auto &other = instances.emplace_back(io, [](auto, auto &) { return ok(); });
    strikeConnection();
    strikeControlPlane(other.id());
    strikeGateway();
    list(other.id(), EndpointState::active);
    goOn();

    // One end at the client, by its time: an answer, or the connection cut where one had begun or
    // all was killed.
    const auto ended = [&] {
        return sender.closed || (sender.statuses().size() == 1 && !at("answering")) ||
               sender.in.ends_with("yyyy");
    };
    EXPECT_TRUE(until(ended, 2500ms));
    EXPECT_LE(sender.statuses().size(), 1u);
    EXPECT_TRUE(sender.statuses().size() == 1 || struckBy("killed"));
    if (struckBy("resultLate"))
        victim.write(rest());
    if (gateway)
        checkNothingIsLeft(sender, other);
}

// Those that can happen; the table says why the others cannot.
std::vector<Cell> cells() {
    std::vector<Cell> out;
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
            out.push_back({stage, fault});
        }
    return out;
}
std::string cellName(const testing::TestParamInfo<Cell> &info) {
    return info.param.stage + "_" + info.param.fault;
}
INSTANTIATE_TEST_SUITE_P(Table, Cells, testing::ValuesIn(cells()), cellName);

}  // namespace
}  // namespace deckcart::test
