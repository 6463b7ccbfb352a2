// Which connection of a listener is evicted for a new one, by its state.
#include <gtest/gtest.h>

#include "../../src/resp/connection_admission.hpp"

namespace deckcart::resp {
namespace {

using namespace std::chrono_literals;

struct ConnectionAdmissionTest : testing::Test {
    static ConnectionState incomplete(Duration age) {
        ConnectionState state;
        state.receivedAny = true;
        state.commandStarted = true;
        state.commandAge = age;
        return state;
    }
    static ConnectionState silent(Duration age) {
        ConnectionState state;
        state.idleTime = age;
        return state;
    }
    static ConnectionState idle(Duration age) {
        ConnectionState state;
        state.receivedAny = true;
        state.idleTime = age;
        return state;
    }
    int priority(const ConnectionState &state) const { return evictionPriority(state, limits); }
    ListenerLimits limits;
};

// Guards against places held by clients that stop in the middle of a command.
TEST_F(ConnectionAdmissionTest, AnIncompleteCommandIsEvictedAfterItsGrace) {
    EXPECT_EQ(priority(incomplete(limits.incompleteCommandGrace - 1ms)), 0);
    EXPECT_GT(priority(incomplete(limits.incompleteCommandGrace)), 0);
    EXPECT_LT(limits.incompleteCommandGrace, limits.commandTimeout);
}

// A client that sends byte by byte is held to the same time: the command's age counts, not its
// last byte.
TEST_F(ConnectionAdmissionTest, BytesThatDripInDoNotProtectAnIncompleteCommand) {
    ConnectionState dripping = incomplete(limits.incompleteCommandGrace);
    dripping.idleTime = 0ms;
    EXPECT_GT(priority(dripping), 0);
}

TEST_F(ConnectionAdmissionTest, UnreadBytesAndCommandsInFlightAreNeverEvicted) {
    ConnectionState unread = incomplete(10s);
    unread.hasUnreadBytes = true;
    EXPECT_EQ(priority(unread), 0);
    ConnectionState inFlight = incomplete(10s);
    inFlight.inFlight = true;
    EXPECT_EQ(priority(inFlight), 0);
}

// A client that has just connected is about to send: it must not go before those that stopped.
TEST_F(ConnectionAdmissionTest, ANewConnectionGoesAfterAnIncompleteCommand) {
    EXPECT_EQ(priority(silent(0ms)), 0);
    EXPECT_GT(priority(silent(limits.silentGrace)), 0);
    EXPECT_GT(priority(incomplete(1s)), priority(silent(1s)));
}

TEST_F(ConnectionAdmissionTest, AnIdleConnectionStaysForTwoSeconds) {
    EXPECT_EQ(priority(idle(2s)), 0);
    EXPECT_GT(priority(idle(2001ms)), 0);
    EXPECT_GT(priority(silent(1s)), priority(idle(3s)));
}

// Guards against memory that grows with the number of clients.
TEST_F(ConnectionAdmissionTest, AtTheLimitOfAllEachConnectionKeepsItsAllowance) {
    const std::size_t all = limits.commandBytes;
    EXPECT_EQ(allowedReadBytes({0, 100'000, all - 1}, limits), limits.readAheadBytes);
    EXPECT_EQ(allowedReadBytes({limits.readAheadBytes, 0, 0}, limits), 0u);
    EXPECT_EQ(allowedReadBytes({0, 0, all}, limits), limits.commandAllowance);
    EXPECT_EQ(allowedReadBytes({100, 100, all}, limits), limits.commandAllowance - 100);
    EXPECT_EQ(allowedReadBytes({0, limits.commandAllowance, all}, limits), 0u);
    EXPECT_LT(commandBytesAfterEviction(limits), all);
}

}  // namespace
}  // namespace deckcart::resp
