#include "server.hpp"

#include <algorithm>
#include <array>

#include "../base/socket.hpp"

namespace deckcart::http {

using asio::ip::tcp;

struct Listener::Core : std::enable_shared_from_this<Listener::Core> {
    Core(asio::io_context &io, const tcp::endpoint &at, ListenerLimits most, Handler take)
        : context(io), acceptor(io), limits(most), handler(std::move(take)), retry(io) {
        listenAt(acceptor, at);
        local = acceptor.local_endpoint();
    }
    void accept();
    void left(ServerConnection *which);

    asio::io_context &context;
    tcp::acceptor acceptor;
    tcp::endpoint local;
    ListenerLimits limits;
    Handler handler;
    asio::steady_timer retry;
    std::set<ServerConnection *> open;
    bool draining = false, accepting = false;
    std::array<char, 64 * 1024> buffer;  // shared: an idle connection holds none of its own
};

class ServerConnection : public std::enable_shared_from_this<ServerConnection>,
                         private MessageHandler {
  public:
    ServerConnection(std::shared_ptr<Listener::Core> of, tcp::socket with)
        : listener(std::move(of)), socket(std::move(with)), timer(socket.get_executor()),
          parser(Parser::Kind::request, listener->limits.headBytes, *this) {
        settle(socket);
    }

    void start() { watch(listener->limits.idleFor), read(); }

    void write(std::string_view bytes) {
        if (closed)
            return;
        if (queued.empty() && !writing) {  // most answers go out at once and need no queue
            asio::error_code fault;
            const auto n = socket.write_some(asio::buffer(bytes.data(), bytes.size()), fault);
            if (fault && fault != asio::error::would_block)
                return fail();
            bytes.remove_prefix(n);
            if (bytes.empty())
                return;
        }
        queued.append(bytes);
        flush();
    }
    std::size_t waiting() const { return queued.size() + (writing ? inFlight.size() : 0); }

    void ended(bool close) {
        closing = closing || close;
        current.reset();
        if (closed)
            return;
        if (waiting() == 0)
            next();
        else
            finishing = true;
    }
    void abort() { shut(true); }
    bool closesAfter(const RequestHead &head) const {
        return !head.keepAlive || closing || listener->draining;
    }
    void drain() {
        if (!current && !parser.begun() && !finishing)
            shut(false);
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
        timer.cancel();
        listener->left(this);
        if (const auto gone = std::exchange(current, nullptr);
            gone && !gone->ended && gone->onGone) {
            const auto tell = gone->onGone;
            tell();
        }
    }

  private:
    void fail() {
        // Not from within the writer's own call: it would be told before its call returns.
        asio::post(socket.get_executor(), [self = shared_from_this()] { self->shut(false); });
    }

    void read() {
        if (closed || reading || refused)
            return;
        if (current && pending.size() >= listener->limits.pipelinedBytes)
            return;  // goes on with the next request
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

    void readable() {
        asio::error_code fault;
        std::size_t room = listener->buffer.size();
        if (current)
            room = std::min(room, listener->limits.pipelinedBytes - pending.size());
        const auto n = socket.read_some(asio::buffer(listener->buffer.data(), room), fault);
        if (fault == asio::error::would_block)
            return read();
        // The peer closing its side ends what it asked for: a client that is gone is not worth a
        // try.
        if (fault)
            return shut(false);
        take({listener->buffer.data(), n});
        read();
    }

    void take(std::string_view bytes) {
        while (!bytes.empty() && !closed && !refused) {
            if (current || finishing)
                return void(pending.append(bytes));
            if (!parser.begun())
                watch(listener->limits.messageWithin);
            bytes.remove_prefix(parser.feed(bytes));
            if (parser.fault() == Fault::malformed)
                return refuse(400, "malformed request");
            if (parser.fault() == Fault::headTooLarge)
                return refuse(431, "head over the limit");
            if (parser.fault() == Fault::unsupported)
                return refuse(501, "coding not supported");
            if (parser.done() && !refused)
                hand();
        }
    }

    bool onHead() override {
        const auto &head = parser.request();
        building = std::make_shared<Exchange>();
        if (head.upgrade)
            refuse(501, "no upgrades");
        else if (head.length.value_or(0) > listener->limits.bodyBytes)
            refuse(413, "body over the limit");
        else if (head.expectsContinue && (head.chunked || head.length.value_or(0) > 0))
            write("HTTP/1.1 100 Continue\r\n\r\n");
        return true;
    }
    void onBody(std::string_view part) override {
        if (refused)
            return;
        if (building->body.size() + part.size() > listener->limits.bodyBytes)
            return refuse(413, "body over the limit");
        building->body.append(part);
    }
    void onEnd() override {}  // handed on once the parser has returned
    void hand() {
        watch(Duration{0});
        current = std::move(building);
        current->head = parser.request();
        current->connection = weak_from_this();
        current->bodiless = current->head.method == "HEAD";
        parser.reset();
        const auto handed = current;
        listener->handler(handed);
    }

    // A request that is refused at the listener: the rest of what this peer sends can't be trusted
    // to be in step.
    void refuse(int status, std::string_view words) {
        refused = closing = true;
        ResponseHead head;
        head.status = status, head.length = words.size() + 1;
        head.headers = {{"Content-Type", "text/plain"}};
        const bool bodiless = parser.request().method == "HEAD";
        write(http::write(head, true) + (bodiless ? std::string{} : std::string(words) + "\n"));
        if (waiting() > 0)
            finishing = true;
        else
            linger();
    }

    // Lets the peer read the refusal before the connection goes: unread bytes would turn it into a
    // reset.
    void linger() {
        asio::error_code ignored;
        socket.shutdown(tcp::socket::shutdown_send, ignored);
        watch(std::min(listener->limits.slowPeerFor, Duration{std::chrono::seconds(1)}));
        swallow();
    }
    void swallow() {
        socket.async_wait(
            tcp::socket::wait_read, [self = shared_from_this()](asio::error_code fault) {
                if (self->closed)
                    return;
                if (!fault)
                    self->socket.read_some(asio::buffer(self->listener->buffer), fault);
                if (fault && fault != asio::error::would_block)
                    return self->shut(false);
                self->swallow();
            });
    }

    void next() {
        finishing = false;
        if (refused)
            return linger();
        if (closing || listener->draining) {
            return linger();  // what was read ahead is not answered: the peer sees its connection
                              // end here
        }
        watch(listener->limits.idleFor);
        if (pending.empty())
            return read();
        // On a turn of its own, so that a long pipeline does not nest.
        asio::post(socket.get_executor(), [self = shared_from_this()] {
            const std::string ahead = std::exchange(self->pending, {});
            self->take(ahead);
            self->read();
        });
    }

    void flush() {
        if (writing || queued.empty() || closed)
            return;
        writing = true;
        inFlight.swap(queued);
        watchWriting();
        asio::async_write(socket, asio::buffer(inFlight),
                          [self = shared_from_this()](asio::error_code fault, std::size_t) {
                              self->writing = false;
                              self->inFlight.clear();
                              if (self->closed)
                                  return;
                              if (fault)
                                  return self->shut(false);
                              self->watch(Duration{0});
                              self->flush();
                              if (self->writing)
                                  return;
                              if (self->finishing)
                                  return self->next();
                              if (const auto held = self->current; held && held->onDrained)
                                  held->onDrained();
                          });
    }

    // The least rate of a reader: one full queue, at most the stated waiting bytes, within the
    // stated time.
    void watchWriting() { watch(listener->limits.slowPeerFor); }
    void watch(Duration within) {
        if (within <= Duration{0})
            return void(timer.cancel());
        timer.expires_after(within);
        timer.async_wait([weak = weak_from_this()](asio::error_code fault) {
            const auto self = weak.lock();
            if (fault || !self || self->closed ||
                self->timer.expiry() > std::chrono::steady_clock::now())
                return;
            if (self->parser.begun() && !self->current && !self->refused && !self->writing)
                return self->refuse(408, "request not complete in time");
            self->shut(self->writing);
        });
    }

    std::shared_ptr<Listener::Core> listener;
    tcp::socket socket;
    asio::steady_timer timer;
    Parser parser;
    std::shared_ptr<Exchange> building, current;
    std::string pending, queued, inFlight;
    bool reading = false, writing = false, finishing = false, closing = false, closed = false;
    bool refused = false;
};

// ---- Exchange ----

bool Exchange::open() const {
    return !ended && !connection.expired();
}

void Exchange::answer(ResponseHead what, std::string_view text) {
    const auto to = connection.lock();
    if (begun)
        return;
    what.length = text.size();
    std::string whole = opening(std::move(what));
    if (!bodiless)
        whole.append(text);
    owed = 0;
    if (to)
        to->write(whole);
    end();
}

void Exchange::begin(ResponseHead what) {
    if (begun)
        return;
    const std::string text = opening(std::move(what));
    if (const auto to = connection.lock())
        to->write(text);
}

std::string Exchange::opening(ResponseHead what) {
    const auto to = connection.lock();
    begun = true;
    if (head.old && what.chunked)
        what.chunked = false, head.keepAlive = false;  // HTTP/1.0 knows no chunks
    chunked = what.chunked && !bodiless;
    counted = what.length.has_value() && !bodiless;
    owed = what.length.value_or(0);
    const bool bare = what.status < 200 || what.status == 204 || what.status == 304;
    if (bare)
        bodiless = true, counted = chunked = false;
    if (bare)
        what.length.reset(), what.chunked = false;
    if (!what.length && !what.chunked && !bodiless)
        head.keepAlive = false;
    return http::write(what, !to || to->closesAfter(head));
}

void Exchange::write(std::string_view part) {
    const auto to = connection.lock();
    if (!to || ended || bodiless || part.empty())
        return;
    if (counted) {
        part = part.substr(0, std::size_t(std::min<std::uint64_t>(owed, part.size())));
        owed -= part.size();
    }
    if (chunked) {
        char size[20];
        const int n = std::snprintf(size, sizeof size, "%zx\r\n", part.size());
        std::string framed(size, std::size_t(n));
        framed.append(part).append("\r\n");
        to->write(framed);
    } else
        to->write(part);
}

void Exchange::end() {
    const auto to = connection.lock();
    if (ended)
        return;
    ended = true;
    onGone = nullptr, onDrained = nullptr;
    if (!to)
        return;
    if (counted && owed > 0)
        return to->abort();  // less than was stated: only a cut tells the peer
    if (chunked)
        to->write("0\r\n\r\n");
    to->ended(to->closesAfter(head));
}

void Exchange::abort() {
    const auto to = connection.lock();
    if (ended)
        return;
    ended = begun = true;
    onGone = nullptr, onDrained = nullptr;
    if (to)
        to->abort();
}

void Exchange::writeBehind(std::string_view bytes) {
    if (const auto to = connection.lock())
        to->write(bytes);
}

std::size_t Exchange::waiting() const {
    const auto to = connection.lock();
    return to ? to->waiting() : 0;
}

// ---- Listener ----

void Listener::Core::accept() {
    if (draining || accepting || !acceptor.is_open())
        return;
    if (open.size() >= limits.connections)
        return;  // left() goes on
    accepting = true;
    acceptor.async_accept([self = shared_from_this()](asio::error_code fault, tcp::socket socket) {
        self->accepting = false;
        if (self->draining || fault == asio::error::operation_aborted)
            return;
        if (fault) {  // out of descriptors, or a peer that left at once: neither ends the listener
            self->retry.expires_after(std::chrono::milliseconds(20));
            self->retry.async_wait([self](asio::error_code) { self->accept(); });
            return;
        }
        const auto connection = std::make_shared<ServerConnection>(self, std::move(socket));
        self->open.insert(connection.get());
        connection->start();
        self->accept();
    });
}

void Listener::Core::left(ServerConnection *which) {
    open.erase(which);
    accept();
}

Listener::Listener(asio::io_context &context, const tcp::endpoint &at, ListenerLimits limits,
                   Handler handler)
    : core(std::make_shared<Core>(context, at, limits, std::move(handler))) {
    core->accept();
}
Listener::~Listener() {
    close();
}
tcp::endpoint Listener::address() const {
    return core->local;
}
void Listener::limit(const ListenerLimits &limits) {
    core->limits = limits;
    core->accept();
}
std::size_t Listener::connections() const {
    return core->open.size();
}

void Listener::drain() {
    core->draining = true;
    asio::error_code ignored;
    core->acceptor.close(ignored);
    for (ServerConnection *one : std::set<ServerConnection *>(core->open))
        one->drain();
}
void Listener::close() {
    drain();
    for (ServerConnection *one : std::set<ServerConnection *>(core->open))
        one->shut(true);
    core->handler = [](std::shared_ptr<Exchange>) {};
}

}  // namespace deckcart::http
