#include "server.hpp"

#include <array>
#include <deque>
#include <set>

#include "../base/socket.hpp"

namespace deckcart::resp {

using asio::ip::tcp;
using Time = std::chrono::steady_clock::time_point;

constexpr auto kSweepEvery = std::chrono::milliseconds(100),
               kAcceptRetry = std::chrono::milliseconds(20);
constexpr std::size_t kSwallowed =
    256 * 1024;                     // of a refused peer's bytes: then its connection is cut
constexpr int kAcceptsAtOnce = 32;  // a turn's share: floods don't hold up who is connected

struct Listener::Core : std::enable_shared_from_this<Listener::Core> {
    Core(asio::io_context &io, const tcp::endpoint &at, const ListenerLimits &most, Handler take)
        : context(io), acceptor(io), limits(most), handler(std::move(take)), retry(io),
          sweeper(io) {
        listenAt(acceptor, at);
        local = acceptor.local_endpoint();
    }
    void accept();
    void take();
    void sweep();
    bool makeRoom();
    void left();  // a connection, or the acceptor
    // Whatever leaves meanwhile.
    void each(auto what) {
        const std::vector<std::shared_ptr<ServerConnection>> all(open.begin(), open.end());
        for (const auto &one : all)
            what(*one);
    }

    asio::io_context &context;
    tcp::acceptor acceptor;
    tcp::endpoint local;
    ListenerLimits limits;
    Handler handler;
    asio::steady_timer retry, sweeper;
    std::set<std::shared_ptr<ServerConnection>> open;
    bool draining = false, closed = false;
    std::function<void()> onEmpty;
    std::array<char, 16 * 1024> buffer;  // shared: an idle connection holds none of its own
};

class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
  public:
    ServerConnection(std::shared_ptr<Listener::Core> of, tcp::socket with)
        : listener(std::move(of)), socket(std::move(with)),
          parser(Parser::What::command, listener->limits.message),
          since(std::chrono::steady_clock::now()) {
        settle(socket);
    }

    void read() {
        // Also where nothing more is taken up yet: a close shows itself behind what has been read.
        if (closed || reading || peerEnded || pending.size() >= listener->limits.readAheadBytes ||
            swallowed > kSwallowed)
            return;
        reading = true;
        socket.async_wait(tcp::socket::wait_read,
                          [self = shared_from_this()](asio::error_code fault) {
                              self->reading = false;
                              if (self->closed)
                                  return;
                              if (fault)
                                  return self->shut(false);
                              self->readable();
                          });
    }

    Standing standing(Time now) const {
        const auto span = [now](Time from) {
            return std::chrono::duration_cast<Duration>(now - from);
        };
        Standing out;
        out.inHand = !slots.empty(), out.refused = out.inHand && slots.front()->refused;
        out.errorDue = refuseAt != Time{} && now >= refuseAt;
        out.lingering = lingering, out.spoke = spoke, out.unread = unread,
        out.begun = parser.begun();
        out.writing = !outgoing.empty();
        out.quietFor = span(since), out.begunFor = span(began), out.stalledFor = span(progress);
        return out;
    }
    Time lastActive() const { return since; }
    // Bytes have come that this process has not read yet: that is not saying nothing.
    bool hasUnread() {
        return unread = slots.empty() && !lingering && peek(socket) == Unread::bytes;
    }
    bool peerThere() {
        if (closed || peek(socket) != Unread::end)
            return !closed;
        asio::post(socket.get_executor(), [self = shared_from_this()] { self->shut(false); });
        return false;
    }

    // Ends it unless something of it is in hand, half read or unread: that is answered first.
    void drain() {
        if (closed || !pending.empty())
            return;
        if (!endsInDrain(standing(std::chrono::steady_clock::now()), listener->limits))
            return;
        if (peek(socket) != Unread::bytes)
            linger();
    }

    void sweep(Time now, bool isPressed) {
        switch (dueOf(standing(now), listener->limits, isPressed)) {
        case Due::nothing:
            return;
        case Due::error:
            return refusalDue();
        case Due::cut:
            return shut(true);
        case Due::close:
            return shut(false);
        // What has come meanwhile crosses the time that is up, and is served.
        case Due::linger:
            return peek(socket) == Unread::bytes ? void() : linger();
        case Due::incomplete:
            return peek(socket) == Unread::bytes ? void()
                                                 : fail("the command is not complete in time");
        }
    }

    void shut(bool reset) {
        if (closed)
            return;
        closed = true;
        const auto self = shared_from_this();
        asio::error_code ignored;
        if (reset)
            socket.set_option(asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
        listener->open.erase(self);
        listener->left();
        for (const auto &slot : std::exchange(slots, {})) {
            slot->connection.reset();
            if (const auto tell = std::exchange(slot->onGone, nullptr); tell && !slot->answered)
                tell();
        }
    }

    void answered() {
        if (closed)
            return;
        bool any = false;
        while (!slots.empty() && slots.front()->answered) {
            outgoing += slots.front()->reply;
            if (slots.front()->refused)
                refuseAt = {};
            slots.pop_front();
            any = true;
        }
        if (!any)
            return;
        since = std::chrono::steady_clock::now();
        write();
    }
    void refusal() { refuseAt = std::chrono::steady_clock::now() + listener->limits.refusalAfter; }

  private:
    bool mayTakeUp() const {
        return refuseAt == Time{} && slots.size() < listener->limits.pipelined &&
               outgoing.size() - gone < listener->limits.waitingBytes;
    }

    void readable() {
        asio::error_code fault;
        const auto n = socket.read_some(asio::buffer(listener->buffer), fault);
        unread = false;
        if (fault == asio::error::would_block)
            return read();
        if (fault) {
            // A peer that ends its sending is gone, but for the error that it is owed, when that is
            // due.
            const bool owed = !slots.empty() && slots.front()->refused && !slots.front()->answered;
            if (fault == asio::error::eof && owed)
                return void(peerEnded = true);
            return shut(false);
        }
        if (lingering || faulty) {
            swallowed += n;
            return swallowed > kSwallowed && lingering ? shut(false) : read();
        }
        if (!pending.empty() || !mayTakeUp()) {
            pending.append(listener->buffer.data(), n);
            goOn();
            return read();
        }
        if (!spoke || slots.empty())
            since = std::chrono::steady_clock::now();
        spoke = true;
        const auto self = shared_from_this();
        feed({listener->buffer.data(), n});
        read();
    }

    std::shared_ptr<Exchange> addSlot() {
        slots.push_back(std::make_shared<Exchange>());
        slots.back()->connection = weak_from_this();
        return slots.back();
    }
    void feed(std::string_view bytes) {
        while (!bytes.empty() && !closed && !faulty) {
            if (!mayTakeUp())
                return void(pending.append(bytes));
            if (!parser.begun())
                began = std::chrono::steady_clock::now();
            bytes.remove_prefix(parser.feed(bytes));
            if (parser.faulty())
                return fail(parser.fault());
            if (!parser.done())
                continue;
            const auto made = addSlot();
            for (auto &item : parser.take().items)
                made->args.push_back(std::move(*item));
            // The buffer is shared: what is left of it must not be lost if the handler comes back
            // here.
            const std::string rest(bytes);
            listener->handler(made);
            if (rest.empty() || closed || faulty)
                return;
            pending.insert(0, rest);
            return goOn();
        }
    }
    // Goes on with what was read ahead on a turn of its own, so that a long pipeline neither nests
    // nor holds up others.
    void goOn() {
        if (goingOn || pending.empty() || closed || faulty || !mayTakeUp())
            return;
        goingOn = true;
        asio::post(socket.get_executor(), [self = shared_from_this()] {
            self->goingOn = false;
            if (self->closed || self->faulty || !self->mayTakeUp())
                return;
            const std::string ahead = std::exchange(self->pending, {});
            self->feed(ahead);
            self->read();
        });
    }

    // What can't be read: what was taken before is still answered, then the words, then the end.
    void fail(const std::string &words) {
        faulty = true;
        pending.clear();
        addSlot()->refuse("ERR " + words);
    }
    void refusalDue() {
        refuseAt = {};
        for (const auto &slot : slots)
            if (slot->refused && !slot->answered) {
                slot->answered = true;
                answered();
                if (!slots.empty() && refuseAt == Time{})
                    read(), goOn();
                return;
            }
    }

    void write() {
        if (writing || closed)
            return;
        asio::error_code fault;
        const auto before = gone;
        while (gone < outgoing.size() && !fault)
            gone += socket.write_some(asio::buffer(outgoing.data() + gone, outgoing.size() - gone),
                                      fault);
        if (fault && fault != asio::error::would_block) {
            // Not from within the writer's own call: it would be told before its call returns.
            asio::post(socket.get_executor(), [self = shared_from_this()] { self->shut(false); });
            return;
        }
        if (gone > before || before == 0)
            progress = std::chrono::steady_clock::now();
        if (gone == outgoing.size()) {
            outgoing.clear(), gone = 0;
            if (outgoing.capacity() > 4096)
                outgoing.shrink_to_fit();
            if (slots.empty() && peerEnded)
                return shut(false);
            if (slots.empty() && faulty)
                return linger();
            read(), goOn();
            if (listener->draining)
                drain();
            return;
        }
        writing = true;
        socket.async_wait(tcp::socket::wait_write,
                          [self = shared_from_this()](asio::error_code bad) {
                              self->writing = false;
                              if (self->closed)
                                  return;
                              if (bad)
                                  return self->shut(false);
                              self->write();
                          });
        read(), goOn();
    }

    // Lets the peer read what was said before the connection goes: unread bytes would turn it into
    // a reset.
    void linger() {
        if (closed || lingering)
            return;
        lingering = true, faulty = false, swallowed = 0;
        since = std::chrono::steady_clock::now(), refuseAt = {};
        asio::error_code ignored;
        socket.shutdown(tcp::socket::shutdown_send, ignored);
        read();
    }

    std::shared_ptr<Listener::Core> listener;
    tcp::socket socket;
    Parser parser;
    std::deque<std::shared_ptr<Exchange>> slots;  // commands in hand, in order
    std::string pending, outgoing;                // read ahead; not written yet
    std::size_t gone = 0, swallowed = 0;          // of outgoing: written
    Time since, began{}, progress{}, refuseAt{};
    bool reading = false, writing = false, closed = false, faulty = false, lingering = false,
         spoke = false, unread = false, goingOn = false;
    bool peerEnded = false;  // its sending, while an error was owed
};

// ---- Exchange ----

void Exchange::answer(std::string bytes) {
    if (answered)
        return;
    answered = true, reply = std::move(bytes), onGone = nullptr;
    if (const auto to = connection.lock())
        to->answered();
}
bool Exchange::peerThere() const {
    const auto to = connection.lock();
    return to && to->peerThere();
}
void Exchange::refuse(std::string_view words) {
    if (answered || refused)
        return;
    refused = true, reply = error(words), onGone = nullptr;
    if (const auto to = connection.lock())
        to->refusal();
}
void Exchange::abort() {
    answered = true;
    if (const auto to = connection.lock())
        to->shut(true);
}

// ---- Listener ----

void Listener::Core::accept() {
    if (draining || closed)
        return;
    acceptor.async_wait(tcp::acceptor::wait_read,
                        [self = shared_from_this()](asio::error_code fault) {
                            if (fault || self->closed || self->draining)
                                return;
                            self->take();
                        });
}

void Listener::Core::take() {
    for (int k = 0; k < kAcceptsAtOnce; ++k) {
        const bool room = open.size() < limits.connections || makeRoom();
        asio::error_code fault;
        tcp::socket socket(context);
        if (room)
            acceptor.accept(socket, fault);
        if (room && fault == asio::error::would_block) {
            if (!draining)
                return accept();
            // To its end: whom the kernel has accepted may have asked already.
            acceptor.close(fault);
            return left();
        }
        if (!room || fault) {  // out of places or of descriptors
            retry.expires_after(kAcceptRetry);
            retry.async_wait([self = shared_from_this()](asio::error_code stopped) {
                if (!stopped && !self->closed)
                    self->take();
            });
            return;
        }
        const auto made = std::make_shared<ServerConnection>(shared_from_this(), std::move(socket));
        open.insert(made);
        made->read();
    }
    if (!draining)
        return accept();
    asio::post(context, [self = shared_from_this()] {
        if (!self->closed && self->acceptor.is_open())
            self->take();
    });
}

void Listener::Core::left() {
    if (draining && !acceptor.is_open() && open.empty() && onEmpty)
        asio::post(context, std::exchange(onEmpty, nullptr));
}

bool Listener::Core::makeRoom() {
    const Time now = std::chrono::steady_clock::now();
    while (true) {
        std::shared_ptr<ServerConnection> which;
        int least = 0;
        for (const auto &one : open) {
            const int priority = dispensable(one->standing(now), limits);
            if (priority > least ||
                (priority == least && priority > 0 && one->lastActive() < which->lastActive()))
                which = one, least = priority;
        }
        if (!which)
            return false;
        if (which->hasUnread())
            continue;
        which->shut(false);
        return true;
    }
}

void Listener::Core::sweep() {
    if (closed)
        return;
    const Time now = std::chrono::steady_clock::now();
    each([this, now, isPressed = pressed(open.size(), limits)](auto &one) {
        one.sweep(now, isPressed);
        if (draining)
            one.drain();
    });
    sweeper.expires_after(kSweepEvery);
    sweeper.async_wait([weak = weak_from_this()](asio::error_code fault) {
        if (const auto self = weak.lock(); self && !fault)
            self->sweep();
    });
}

Listener::Listener(asio::io_context &io, const tcp::endpoint &at, const ListenerLimits &limits,
                   Handler handler)
    : core(std::make_shared<Core>(io, at, limits, std::move(handler))) {
    core->sweep();
}

void Listener::open() {
    core->accept();
}

Listener::~Listener() {
    core->closed = true;
    core->onEmpty = nullptr;
    core->handler = [](const std::shared_ptr<Exchange> &) {};
    asio::error_code ignored;
    core->acceptor.close(ignored);
    core->retry.cancel(), core->sweeper.cancel();
    core->each([](auto &one) { one.shut(false); });
}

tcp::endpoint Listener::address() const {
    return core->local;
}
std::size_t Listener::connections() const {
    return core->open.size();
}

void Listener::drain(std::function<void()> empty) {
    core->draining = true, core->onEmpty = std::move(empty);
    asio::error_code ignored;
    core->acceptor.cancel(ignored);
    core->retry.cancel();
    core->take();
    core->each([](auto &one) { one.drain(); });
    core->left();
}

}  // namespace deckcart::resp
