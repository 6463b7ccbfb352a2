// Who of a listener's connections has had its time, and who makes room when all places are taken.
// Pure.
#pragma once

#include "../base/clock.hpp"
#include "message.hpp"

namespace deckcart::resp {

// What may come through a listener, each with what it guards against. Times are kept to
// kSweepEvery.
struct ListenerLimits {
    std::size_t connections =
        1024;        // beyond it who says nothing, or idles, makes room; else accepting waits
    Limits message;  // a message over it: an error and the connection's end
    std::size_t pipelined =
        64;  // commands of one connection in hand; the listener reads on as they end
    std::size_t readAheadBytes =
        16384;  // while no command is taken up: the peer's close is seen behind them
    std::size_t waitingBytes =
        256 * 1024;  // of answers for a slow reader; the listener reads on as they go
    Duration silentFor = std::chrono::milliseconds(1500);  // from connecting to the first byte
    Duration messageWithin =
        std::chrono::milliseconds(1500);                // from a command's first byte to its last
    Duration idleFor = std::chrono::seconds(30);        // between commands
    Duration pressedIdleFor = std::chrono::seconds(2);  // the same from half of the connections on
    Duration slowPeerFor =
        std::chrono::seconds(5);  // a reader that takes nothing for so long is cut off
    Duration refusalAfter =
        std::chrono::milliseconds(250);  // of what can't be served: floods that come back
    Duration newcomerFor =
        std::chrono::milliseconds(300);  // who has just connected as a drain begins
    Duration lingerFor =
        std::chrono::milliseconds(500);  // for a peer to read the last answer before the end
};

// How a connection stands at a moment.
struct Standing {
    bool inHand = false;     // it has commands that are not answered,
    bool refused = false;    // and the first of them waits for its error,
    bool errorDue = false;   // whose time has come
    bool lingering = false;  // the last word is said
    bool spoke = false;      // bytes of it were read
    bool unread = false;     // bytes of it wait to be read
    bool begun = false;      // half a command was read
    bool writing = false;    // it has not taken all that it was told
    Duration quietFor{};     // since it last asked, or was answered
    Duration begunFor{};     // since the command's first byte
    Duration stalledFor{};   // since it last took something
};

// In a drain: nothing of it is in hand or half read, and it is no newcomer that is about to ask.
bool endsInDrain(const Standing &one, const ListenerLimits &limits);

// The higher, the sooner it makes room; 0: it can't.
int dispensable(const Standing &one, const ListenerLimits &limits);

enum class Due { nothing, error, cut, close, linger, incomplete };
Due dueOf(const Standing &one, const ListenerLimits &limits, bool pressed);
bool pressed(std::size_t connections, const ListenerLimits &limits);

}  // namespace deckcart::resp
