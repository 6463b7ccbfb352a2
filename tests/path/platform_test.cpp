// The platform's protocol through the real gateway on loopback: scripted instances, discovery and control.
#include "../../src/platform/ways.hpp"
#include "bench.hpp"

namespace deckcart::test {
namespace {

using Then = Reply::Then;

std::string served(const std::string &value, const std::string &report = "$-1\r\n") {
    return "*3\r\n" + resp::bulk(value) + "$-1\r\n" + report;
}

class RespInstance {
  public:
    using Script = std::function<Reply(std::size_t nth, const std::vector<std::string> &args)>;
    RespInstance(asio::io_context &io, Script what)
        : script(std::move(what)), acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
        accept();
    }
    std::string address() const { return format(acceptor.local_endpoint()); }
    std::vector<std::vector<std::string>> commands;
    std::size_t opened = 0;

  private:
    struct Peer {
        explicit Peer(tcp::socket s) : socket(std::move(s)) {}
        tcp::socket socket;
        resp::Parser parser{resp::Parser::What::command, {}};
        std::array<char, 4096> buffer;
    };
    void accept() {
        acceptor.async_accept([this](asio::error_code fault, tcp::socket socket) {
            if (fault) return;
            ++opened;
            read(std::make_shared<Peer>(std::move(socket)));
            accept();
        });
    }
    void read(const std::shared_ptr<Peer> &peer) {
        peer->socket.async_read_some(
            asio::buffer(peer->buffer), [this, peer](asio::error_code fault, std::size_t n) {
                if (fault) return;
                std::string_view bytes(peer->buffer.data(), n);
                while (!bytes.empty()) {
                    bytes.remove_prefix(peer->parser.feed(bytes));
                    ASSERT_FALSE(peer->parser.faulty()) << peer->parser.fault();
                    if (!peer->parser.done()) break;
                    std::vector<std::string> args;
                    for (auto &item : peer->parser.take().items) args.push_back(*item);
                    commands.push_back(std::move(args));
                    const Reply reply = script(commands.size() - 1, commands.back());
                    asio::error_code ignored;
                    asio::write(peer->socket, asio::buffer(reply.bytes), ignored);
                    if (reply.then == Then::keep) continue;
                    if (reply.then == Then::reset)
                        peer->socket.set_option(asio::socket_base::linger(true, 0), ignored);
                    peer->socket.close(ignored);
                    return;
                }
                read(peer);
            });
    }
    Script script;
    tcp::acceptor acceptor;
};

// Discovery and the control service in one: streams to whoever asks, and takes votes.
class Standin {
  public:
    explicit Standin(asio::io_context &io)
        : door(io, *parseAddress("127.0.0.1:0"), {},
               [this](std::shared_ptr<http::Exchange> e) { serve(e); }) {}
    std::string address() const { return format(door.address()); }
    void list(const std::string &id, const std::string &at, int build = 1, const char *state = "Ready") {
        entries[id] = {{"instanceId", id},   {"hostPort", at},   {"zone", "a"},
                       {"machineType", "m"}, {"cell", 0},        {"lifecycle", state},
                       {"weight", 1.0},      {"startedAtMs", 0}, {"release", build}};
        const json change{{"generation", ++generation}, {"reset", false}, {"instances", {entries[id]}}};
        for (const auto &w : watchers) w->write(change.dump() + "\n");
    }
    json all() const {
        json instances = json::array();
        for (const auto &[id, e] : entries) instances.push_back(e);
        return {{"generation", generation}, {"reset", true}, {"instances", instances}};
    }
    void say(const std::string &bytes) {
        for (const auto &r : readers) r->write(bytes);
    }
    static std::string news(int build, int step, const char *phase, double cap) {
        return "event: news\ndata: image=" + std::to_string(build) + "&ring=" + std::to_string(step) +
               "&progress=" + phase + "&ceiling=" + std::to_string(cap) + "&lag_ms=10\n\n";
    }
    std::string first = news(1, 0, "Healthy", 1);
    std::vector<std::shared_ptr<http::Exchange>> watchers, readers;
    std::vector<std::string> asked;

  private:
    void serve(const std::shared_ptr<http::Exchange> &e) {
        asked.push_back(e->head.target);
        http::AnswerHead head;
        head.status = 200, head.chunked = true;
        e->begin(head);
        if (e->head.target.starts_with("/discovery/hosts")) {
            watchers.push_back(e);
            e->write(all().dump() + "\n");
        } else {
            readers.push_back(e);
            e->write(first);
        }
    }
    std::map<std::string, json> entries;
    std::int64_t generation = 1;
    http::Door door;
};

class Platform : public Loop {
  protected:
    Platform() : standin(io) {}
    void TearDown() override {
        clients.clear();
        gateway.reset();
        settleDown();
    }
    RespInstance &instance(RespInstance::Script script, int build = 1) {
        auto &made = instances.emplace_back(io, std::move(script));
        standin.list("s" + std::to_string(instances.size()), made.address(), build);
        return made;
    }
    // `rest`: of a connection before it is used again, instead of the bounds' own: a test of many reqs takes
    // no longer than that.
    void begin(std::size_t sockets = 256, std::optional<Span> rest = std::nullopt) {
        const json doc{{"name", "n"},
                       {"listen", "127.0.0.1:0"},
                       {"discovery", standin.address()},
                       {"seed", "1"},
                       {"limits", {{"cores", 1}, {"memory_mb", 32}, {"sockets", sockets}}},
                       {"platform", {{"address", standin.address()}}},
                       {"known", standin.all()},
                       {"settings", json::parse(R"({
          "FailureDomains": ["a"], "GroupSize": 3,
          "FamilyInfo": {"GateMode": "by_count", "ReplaceMode": "replace", "ExposureCaps": [0.5, 1.0], "Shares": [0.5, 1.0],
                         "SpanS": 4, "SpareTries": 3, "BallotTtlS": 6, "ApiTimeoutS": 0.8, "VotesToRevert": 1},
          "Grades": [{"Name": "any", "Effect": "free", "ObjectiveS": 2, "DeadlineS": 4},
                     {"Name": "once", "Effect": "single_shot", "ObjectiveS": 2, "DeadlineS": 4},
                     {"Name": "deduped", "Effect": "guarded", "Group": "all", "WindowS": 5, "ObjectiveS": 2, "DeadlineS": 4}],
          "Limits": {"KeepaliveS": 15, "ConnectTimeoutS": 0.25, "MostTries": 4, "MostHeld": 1000, "Cancel": true,
                     "RetryAfter": true, "MaxRetryAfterS": 0.5},
          "Safety": {"TipMultiple": 2.5, "OverloadForS": 3}, "Discovery": "automatic"})")}};
        configuration = platform::readStart(doc.dump());
        auto bounds = platform::divide(sockets, 32, 1000, configuration.settings.keptIdle);
        if (rest) bounds.restFor = *rest;
        ways = std::make_unique<platform::PlatformWays>(io, clock, configuration, bounds, Log());
        gateway =
            std::make_unique<Gateway>(io, clock, platform::ordersOf(configuration, bounds), 1, Log(), *ways);
        gateway->remember(platform::listTold(configuration.known));
        ASSERT_TRUE(until([&] { return gateway->stage().has_value() && !standin.watchers.empty(); }));
    }
    RawClient &client() { return clients.emplace_back(io, gateway->address()); }
    static std::string req(const std::string &id, const std::string &route = "any",
                           const std::string &wait = "3000") {
        if (route == "any") return resp::command({"Q.ASK", "key-" + id, id, "c=any,t=x,d=" + wait});
        return resp::command({"Q.DO", "key-" + id, id, "c=" + route + ",t=x,d=" + wait + ",k=1f", "body"});
    }
    static bool whole(const std::string &in) {
        resp::Parser parser(resp::Parser::What::reply, {4, 4000000, 4000000, 512});
        parser.feed(in);
        return parser.done();
    }
    std::string ask(const std::string &id, const std::string &route = "any") {
        auto &c = client();
        c.send(req(id, route));
        EXPECT_TRUE(until([&] { return whole(c.in) || c.closed; }));
        return c.in;
    }
    std::size_t tries() const {
        std::size_t n = 0;
        for (const auto &one : instances) n += one.commands.size();
        return n;
    }
    Standin standin;
    platform::Start configuration;
    std::unique_ptr<platform::PlatformWays> ways;
    std::deque<RespInstance> instances;
    std::unique_ptr<Gateway> gateway;
    std::deque<RawClient> clients;
};

Reply echo(std::size_t, const std::vector<std::string> &args) { return {served("of " + args[2])}; }

TEST_F(Platform, ManyCommandsOnAConnectionAreAnsweredInTheirOrderEachOnce) {
    for (int k = 0; k < 3; ++k) instance(echo);
    begin(256, 0s);
    auto &c = client();
    std::string all = resp::command({"PING"}), wanted = "+PONG\r\n";
    for (int k = 0; k < 200; ++k) {
        all += req("r" + std::to_string(k), k % 3 ? "any" : "deduped");
        wanted += resp::bulk("of r" + std::to_string(k));
    }
    c.send(all);
    EXPECT_TRUE(until([&] { return c.in.size() >= wanted.size(); }));
    EXPECT_EQ(c.in, wanted);
    EXPECT_EQ(tries(), 200u);
    EXPECT_EQ(gateway->counts().completed, 200u);
    EXPECT_LE(instances[0].opened + instances[1].opened + instances[2].opened, 110u)
        << "connections are used again";
}

TEST_F(Platform, WhatComesBackOfATryIsToldTruthfully) {
    struct Row {
        Reply reply;
        const char *name;
        bool ran;  // it may have
    };
    const std::vector<Row> rows{{{"-BUSY\r\n"}, "turned away", false},
                                {{"-ERR failed\r\n"}, "error", true},
                                {{"", Then::close}, "ended", true},
                                {{"", Then::reset}, "reset", true},
                                {{"*3\r\n$4\r\nab", Then::close}, "broke off", true},
                                {{"xxxxxxxxxxxxx\r\n"}, "noise", true},
                                {{"*3\r\n$3000000000\r\nab"}, "huge", true},
                                {{"*3\r\n$-1\r\n$-1\r\n$-1\r\n"}, "no value", true}};
    std::size_t row = 0;
    bool fails = true;
    const auto script = [&](std::size_t n, const std::vector<std::string> &args) {
        return std::exchange(fails, false) ? rows[row].reply : echo(n, args);
    };
    instance(script), instance(script);
    begin();
    for (; row < rows.size(); ++row) {
        fails = true;
        EXPECT_EQ(ask("a" + std::to_string(row)), resp::bulk("of a" + std::to_string(row))) << rows[row].name;
        fails = true;
        const std::size_t before = tries();
        const std::string once = ask("o" + std::to_string(row), "once");
        if (rows[row].ran) {
            EXPECT_EQ(once, "-ERR failed\r\n") << rows[row].name;
            EXPECT_EQ(tries(), before + 1) << "no effect twice: " << rows[row].name;
        } else EXPECT_EQ(once, resp::bulk("of o" + std::to_string(row))) << rows[row].name;
    }
}

TEST_F(Platform, LargeValuesArePassedOnWholeAndHugeOnesAreNot) {
    instance([](std::size_t, const std::vector<std::string> &args) {
        return Reply{served(args[2] + std::string(args[2] == "huge" ? 3000000 : 194000, 'v'))};
    });
    begin();
    EXPECT_EQ(ask("large"), resp::bulk("large" + std::string(194000, 'v')));
    auto &c = client();
    c.send(req("huge", "once"));
    EXPECT_TRUE(until([&] { return c.in == "-ERR failed\r\n"; }));
}

TEST_F(Platform, ConnectionsThatAreRefusedProveThatNothingRan) {
    auto &sound = instance(echo);
    tcp::acceptor taken(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    const std::string nobody = format(taken.local_endpoint());
    taken.close();
    standin.list("dead", nobody);
    begin();
    for (int k = 0; k < 12; ++k)
        EXPECT_EQ(ask("o" + std::to_string(k), "once"), resp::bulk("of o" + std::to_string(k)));
    EXPECT_EQ(sound.commands.size(), 12u);
}

TEST_F(Platform, WhatComesBehindAGoodAnswerReachesNobody) {
    instance([](std::size_t, const std::vector<std::string> &args) {
        return Reply{served("of " + args[2]) + served("of " + args[2])};
    });
    begin();
    for (int k = 0; k < 10; ++k)
        EXPECT_EQ(ask("r" + std::to_string(k)), resp::bulk("of r" + std::to_string(k)));
    EXPECT_EQ(instances[0].opened, 10u) << "no such connection is used again";
}

TEST_F(Platform, WhatCantBeReadGetsAnErrorOrACloseAndOthersAreServed) {
    instance(echo);
    begin();
    for (const std::string &bad :
         {std::string("GET / HTTP/1.1\r\n\r\n"), std::string("*4\r\n$-5\r\n"), std::string("*99999999\r\n"),
          std::string("*1\r\n$60000000\r\n") + std::string(200000, 'x'), std::string("*3\r\n$3\r\nabcd\r\n"),
          std::string(5000, '*'), resp::command({"Q.ASK", "k", "", "c=any,d=5"}),
          resp::command({"Q.ASK", "k", "i", "c=none,d=5"}), resp::command({"Q.ASK", "k", "i", "c=any,d=x"}),
          resp::command({"Q.ASK", "k", "i", "c=once,d=5"}), resp::command({"FLUSHALL"}),
          std::string("*2\r\n$4\r\nPI")}) {
        auto &c = client();
        c.send(bad);
        const std::string id = "u" + std::to_string(clients.size());
        EXPECT_EQ(ask(id), resp::bulk("of " + id));
        EXPECT_TRUE(until([&] { return c.closed || c.in.starts_with("-ERR "); }, 2900ms))
            << bad.substr(0, 30);
        EXPECT_TRUE(c.in.empty() || c.in.starts_with("-ERR ")) << c.in;
    }
    EXPECT_EQ(tries(), 12u) << "of the usual clients alone";
}

TEST_F(Platform, AnswersOwedComeBeforeTheErrorAndTheEnd) {
    instance(echo);
    begin();
    auto &c = client();
    c.send(req("a") + req("b") + "noise\r\n" + req("c"));
    EXPECT_TRUE(until([&] { return c.closed; }));
    EXPECT_TRUE(c.in.starts_with(resp::bulk("of a") + resp::bulk("of b") + "-ERR ")) << c.in;
    EXPECT_EQ(tries(), 2u);
}

TEST_F(Platform, AnIdThatIsKnownGoesToNoInstance) {
    instance(echo);
    begin();
    EXPECT_EQ(ask("x"), resp::bulk("of x"));
    EXPECT_TRUE(ask("x").starts_with("-ERR "));
    EXPECT_EQ(tries(), 1u);
}

TEST_F(Platform, SilentConnectionsMakeRoomForUsualOnes) {
    instance(echo);
    begin(64);
    for (int k = 0; k < 100; ++k) client();
    for (int k = 0; k < 5; ++k)
        EXPECT_EQ(ask("r" + std::to_string(k)), resp::bulk("of r" + std::to_string(k)));
    EXPECT_LE(gateway->connections(), 64u);
    EXPECT_TRUE(until([&] {
        return std::count_if(clients.begin(), clients.begin() + 100, [](auto &c) { return c.closed; }) == 100;
    })) << "who says nothing is closed";
}

TEST_F(Platform, AClientThatLeavesHasItsTryEnded) {
    instance([](std::size_t, const std::vector<std::string> &) { return Reply{""}; });
    begin();
    auto &c = client();
    c.send(req("a"));
    ASSERT_TRUE(until([&] { return tries() == 1; }));
    c.hangUp();
    EXPECT_TRUE(until([&] { return gateway->counts().gone == 1 && gateway->inHand() == 0; }));
}

TEST_F(Platform, ADrainAnswersWhatIsInHandAndEnds) {
    std::size_t held = 0;
    instance([&](std::size_t n, const std::vector<std::string> &args) { return ++held, echo(n, args); });
    begin();
    auto &idle = client();
    idle.send(resp::command({"PING"}));
    ASSERT_TRUE(until([&] { return idle.in == "+PONG\r\n"; }));
    auto &c = client();
    c.send(req("a"));
    ASSERT_TRUE(until([&] { return gateway->inHand() == 1; }));
    bool done = false;
    gateway->drain([&] { done = true; });
    EXPECT_TRUE(until([&] { return done && c.closed && idle.closed; }));
    EXPECT_EQ(c.in, resp::bulk("of a"));
}

TEST_F(Platform, WhatIsStillInHandAtTheEndIsAnswered) {
    instance([](std::size_t, const std::vector<std::string> &) { return Reply{""}; });
    begin();
    auto &c = client();
    c.send(req("a") + req("b", "once"));
    ASSERT_TRUE(until([&] { return tries() == 2; }));
    gateway->endInHand();
    EXPECT_TRUE(until([&] { return c.in == "-ERR failed\r\n-ERR failed\r\n"; })) << c.in;
    EXPECT_TRUE(until([&] { return gateway->inHand() == 0; }));
}

TEST_F(Platform, NewAddressesAreFollowedAndTheOldStayUntilThenOnTheirOwn) {
    auto &one = instance(echo);
    begin();
    EXPECT_EQ(ask("a"), resp::bulk("of a"));
    Standin second(io);
    auto &two = instances.emplace_back(io, echo);
    for (int k = 0; k < 5; ++k) second.list("s1", one.address());
    second.list("s1", two.address(), 1);
    second.first = Standin::news(2, 0, "Progressing", 0.5);
    const auto at = *parseAddress(second.address());
    ways->desks->move({at, at});
    ways->desks->move({at, at});
    EXPECT_TRUE(until([&] { return gateway->stage()->build == 2; })) << "news come from there";
    EXPECT_TRUE(until([&] { return ask("m" + std::to_string(clients.size())), two.commands.size() > 0; }))
        << "an id's new address is called";
    EXPECT_EQ(second.readers.size(), 1u);
}

TEST_F(Platform, StreamsThatBreakOrCantBeReadAreMadeAnewFromWhereTheyWere) {
    instance(echo);
    begin();
    const auto opened = [&] { return standin.watchers.size() + 100 * standin.readers.size(); };
    for (const char *odd : {"{\"generation\":9,\"reset\":fal\n", "noise\n", "{\"generation\":\"x\"}\n"}) {
        const auto before = standin.watchers.size();
        standin.watchers.back()->write(odd);
        EXPECT_TRUE(until([&] { return standin.watchers.size() == before + 1; })) << odd;
    }
    const auto before = opened();
    standin.say("event: news\ndata: image=7&ring=no\n\n");
    EXPECT_TRUE(until([&] { return opened() == before + 100; }));
    standin.readers.back()->abort();
    EXPECT_TRUE(until([&] { return opened() == before + 200; }));
    EXPECT_EQ(gateway->stage()->build, 1);
    EXPECT_NE(standin.asked.back().find("bulletin"), std::string::npos);
    EXPECT_EQ(ask("a"), resp::bulk("of a")) << "and reqs go on";
}

TEST_F(Platform, AnOlderGenerationChangesNothing) {
    auto &one = instance(echo);
    begin();
    standin.watchers.back()->write("{\"generation\":0,\"reset\":true,\"instances\":[]}\n\n");
    EXPECT_EQ(ask("a"), resp::bulk("of a"));
    EXPECT_EQ(one.commands.size(), 1u);
}

TEST_F(Platform, AReqThatIsGivenUpIsAnsweredAtOnceWithATimeToComeBack) {
    instance([](std::size_t, const std::vector<std::string> &) { return Reply{"-BUSY\r\n"}; });
    begin();
    const auto from = std::chrono::steady_clock::now();
    EXPECT_TRUE(ask("a").starts_with("-BUSY ")) << clients.back().in;
    EXPECT_LT(std::chrono::steady_clock::now() - from, 3s) << "not held until the client gives up";
}

// A try that is still connecting when its instance comes to run another build, or its build gets a lower cap,
// is not sent: where the handshake hangs because the listener's queue is full.
TEST_F(Platform, WhatIsStillConnectingIsWithdrawnWhenItsBuildOrCapChanges) {
    tcp::acceptor full(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    full.listen(0);
    std::vector<std::unique_ptr<tcp::socket>> fillers;
    for (int k = 0; k < 4; ++k) {
        fillers.push_back(std::make_unique<tcp::socket>(io));
        fillers.back()->async_connect(full.local_endpoint(), [](asio::error_code) {});
    }
    io.restart();
    io.run_for(20ms);
    standin.list("slow", format(full.local_endpoint()));
    begin();
    auto &c = client();
    c.send(req("a", "once"));
    ASSERT_TRUE(until([&] { return gateway->counts().tries >= 1; }));
    auto &sound = instance(echo);
    standin.list("slow", format(full.local_endpoint()), 2);
    EXPECT_TRUE(until([&] { return c.in == resp::bulk("of a"); }, 2s)) << "it is sent elsewhere: " << c.in;
    EXPECT_EQ(sound.commands.size(), 1u);
}

}  // namespace
}  // namespace deckcart::test
