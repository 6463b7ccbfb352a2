#include "connection_admission.hpp"

namespace deckcart::resp {

// Those that are ending first, then who never spoke, who only waits for an error, who has nothing
// to ask. One whose bytes wait to be read is not silent.
int dispensable(const Standing &one, const ListenerLimits &limits) {
    if (one.lingering)
        return 4;
    if (one.inHand)
        return one.refused ? 2 : 0;
    if (one.unread)
        return 0;
    if (!one.spoke)
        return 3;
    return !one.begun && one.quietFor > limits.pressedIdleFor ? 1 : 0;
}

bool endsInDrain(const Standing &one, const ListenerLimits &limits) {
    if (one.lingering || one.inHand || one.begun || one.writing)
        return false;
    return one.spoke || one.quietFor >= limits.newcomerFor;
}

Due dueOf(const Standing &one, const ListenerLimits &limits, bool isPressed) {
    if (one.inHand && one.errorDue)
        return Due::error;
    if (one.lingering)
        return one.quietFor >= limits.lingerFor ? Due::close : Due::nothing;
    if (one.writing && one.stalledFor > limits.slowPeerFor)
        return Due::cut;
    if (one.inHand || one.writing)
        return Due::nothing;
    if (one.begun)
        return one.begunFor > limits.messageWithin ? Due::incomplete : Due::nothing;
    const Duration most = !one.spoke  ? limits.silentFor
                          : isPressed ? limits.pressedIdleFor
                                      : limits.idleFor;
    return one.quietFor > most ? Due::linger : Due::nothing;
}

bool pressed(std::size_t connections, const ListenerLimits &limits) {
    return connections * 2 > limits.connections;
}

}  // namespace deckcart::resp
