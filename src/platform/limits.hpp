// Divides what a gateway's machine allows between its uses. Pure.
#pragma once

#include "../resp/connection_admission.hpp"
#include "documents.hpp"

namespace deckcart::platform {

struct Bounds {
    std::size_t clients = 0;    // connections of clients
    std::size_t upstreams = 0;  // connections to instances, probes among them
    std::size_t reserve = 0;    // discovery, control, signals, logs, what is being closed
    std::size_t maxRequestsInFlight = 0;
    std::size_t valueBytes = 0;  // of an instance's answer at most
    std::size_t bodyBytes = 0;   // of a client's command at most
    Duration idleFor{};          // a connection to an instance is kept idle
    Duration sweepEvery{};       // idle connections are looked through
    Duration restFor{};  // and not used again sooner: what comes behind an answer shows itself
};
// How a planned end goes, from its signal on.
struct Ending {
    Duration acceptsFor{};  // who does not know yet still comes
    Duration answersBy{};   // what is in hand then is answered as errored
    Duration lastWords{};   // for readers of the last answers
};
// A stream that is to stand always.
struct StreamTimes {
    Duration silentFor{};  // of silence that counts as broken
    Duration firstWord{};  // a new one has so long for its first word; twice that at each in a row,
                           // up to silentFor
    Duration first{}, most{};  // pauses before it is opened anew
};
// How a start goes.
struct Starting {
    Duration listensWithin{},
        listensAgain{};          // while its address is still taken: at most, and a pause
    Duration firstListWithin{};  // then it serves from the list as last known
};
Starting starting();
Ending ending(Duration longestTimeout);
StreamTimes listTimes();
StreamTimes bulletinTimes();
Duration probeWithin(Duration connectWithin);
resp::ListenerLimits listenerLimits(const Bounds &bounds);
resp::Limits replyLimits(const Bounds &bounds);
Bounds divide(std::size_t sockets, std::size_t memoryMb, std::size_t maxRequests,
              Duration keptIdle);

}  // namespace deckcart::platform
