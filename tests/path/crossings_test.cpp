// Two events that cross, in the order that harms, forced every time: see docs/design-crossings.md, whose rows
// name these tests.
#include "platform_bench.hpp"

namespace deckcart::test {
namespace {

class Crossing : public Platform {
  protected:
    // A watch in the middle of which discovery falls silent.
    void fallSilent() {
        standin.watchers.clear();  // kept open by the door, told nothing
        silentSince = std::chrono::steady_clock::now();
    }
    auto silentFor() const { return std::chrono::steady_clock::now() - silentSince; }
    bool listed(const ServerId &id) const {
        return std::ranges::any_of(gateway->listed(), [&](const auto &s) { return s.id == id; });
    }
    std::string change(const std::string &id, const std::string &state, int indent, std::int64_t generation) {
        return json{{"generation", generation},
                    {"reset", false},
                    {"instances",
                     {{{"instanceId", id},
                       {"hostPort", "127.0.0.1:9"},
                       {"zone", "a"},
                       {"lifecycle", state},
                       {"release", 1}}}}}
            .dump(indent);
    }
    std::chrono::steady_clock::time_point silentSince{};
};

// ---- lists ----

TEST_F(Crossing, IndentedListsAreReadWholeWhereverTheyAreCut) {
    standin.indent = 2;
    instance(echo);
    begin();
    const std::string text = change("late", "Ready", 2, 100) + "\n\n" + change("later", "Ready", 1, 101);
    for (const char c : text) {
        io.restart();
        io.run_for(1ms);
        standin.watchers.back()->write(std::string(1, c));
    }
    EXPECT_TRUE(until([&] { return listed("late") && listed("later"); }));
    EXPECT_EQ(standin.asked.size(), 2u) << "no stream was opened anew";
}

TEST_F(Crossing, AWatchThatFellSilentIsOpenedAnewAndHeardWithinSixSeconds) {
    auto &one = instance(echo);
    begin();
    // The first new one is mute, the second says half a list, the third tells.
    standin.oddWatches = {[](http::Exchange &) {},
                          [&](http::Exchange &e) {
                              Standin::beginWatch(e);
                              e.write("{\"generation\":50,");
                          }};
    fallSilent();
    standin.list("s1", one.address(), 1, "Terminating");
    EXPECT_TRUE(until([&] {
        const auto all = gateway->listed();
        return std::ranges::any_of(all, [](const auto &s) { return s.readiness == Readiness::draining; });
    }));
    EXPECT_LT(silentFor(), 6s);
}

TEST_F(Crossing, AfterASignalTheNewAddressIsHeardWithinFourSecondsThoughMuteAtFirst) {
    auto &one = instance(echo);
    begin();
    Standin second(io);
    for (int k = 0; k < 5; ++k) second.list("s1", one.address());
    second.list("s1", one.address(), 1, "Terminating");
    second.oddWatches = {[](http::Exchange &) {}, [](http::Exchange &e) { Standin::beginWatch(e); }};
    const auto at = *parseAddress(second.address());
    const auto from = std::chrono::steady_clock::now();
    ways->desks->move({at, *parseAddress(standin.address())});
    EXPECT_TRUE(until([&] {
        const auto all = gateway->listed();
        return std::ranges::any_of(all, [](const auto &s) { return s.readiness == Readiness::draining; });
    }));
    EXPECT_LT(std::chrono::steady_clock::now() - from, 4s);
}

TEST_F(Crossing, LateLinesOfTheOldWatchChangeNothingOnceTheNewOneHasSpoken) {
    auto &one = instance(echo);
    begin();
    const auto old = standin.watchers.back();
    fallSilent();
    ASSERT_TRUE(until([&] { return !standin.watchers.empty(); })) << "opened anew";
    standin.list("s1", one.address(), 1, "Terminating");
    ASSERT_TRUE(until([&] { return gateway->listed()[0].readiness == Readiness::draining; }));
    old->write(change("s1", "Ready", -1, 900) + "\n");
    settleDown();
    EXPECT_EQ(gateway->listed()[0].readiness, Readiness::draining);
}

}  // namespace
}  // namespace deckcart::test
