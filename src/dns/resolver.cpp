#include "resolver.hpp"

#include <algorithm>
#include <array>
#include <random>

namespace deckcart::dns {
namespace {

using asio::ip::tcp;
using asio::ip::udp;

// A datagram has no more (RFC 768).
constexpr std::size_t kMostDatagramBytes = 65535;

// Ids must not be guessed from outside, so they don't come from the seed (RFC 5452, 9.2).
std::uint16_t freshId() {
    static thread_local std::random_device device;
    return std::uint16_t(device());
}

}  // namespace

struct Resolver::WatchedName {
    WatchedName(asio::io_context &io, std::string of, RefreshRules rules, std::uint32_t seed)
        : name(std::move(of)), refresh(rules, seed), timer(io) {}

    std::string name;
    Refresh refresh;
    asio::steady_timer timer;
    std::optional<Lookup> lookup;  // one that is under way
    std::size_t server = 0;        // that answered the SRV question
    AddressCache addresses;
    TimePoint addressesAt{};
    TimePoint due{};  // of the timer
};

struct Resolver::Query {
    Query(asio::io_context &io, Question of, std::vector<std::size_t> order, std::uint32_t seed)
        : question(std::move(of)), attempts(std::move(order), seed), datagrams(io), stream(io) {}

    void close() {
        asio::error_code ignored;
        timer.reset();
        datagrams.close(ignored);
        stream.close(ignored);
    }

    std::vector<std::string> forNames;  // watched names that wait for it
    Question question;
    QueryAttempts attempts;
    QueryAttempt current;
    std::uint64_t attemptNumber = 0;  // what comes for an earlier one is late
    std::uint16_t id = 0;
    TimePoint sentAt{};
    std::optional<asio::steady_timer> timer;  // of the current attempt; reset: cancelled
    udp::socket datagrams;
    tcp::socket stream;
    std::vector<std::uint8_t> sent;
    std::vector<std::uint8_t> received;
    std::array<std::uint8_t, 2> receivedLength{};  // of a message over TCP (RFC 1035, 4.2.2)
    bool over = false;
};

template <class Callback>
auto Resolver::forAttempt(const QueryPointer &query, Callback callback) const {
    return guard.wrap([query, attempt = query->attemptNumber,
                       callback = std::move(callback)](const auto &...arguments) {
        if (!query->over && attempt == query->attemptNumber)
            callback(arguments...);
    });
}

Resolver::Resolver(asio::io_context &io, const Clock &with, ResolverSettings given,
                   std::uint64_t seed, OnResult observer)
    : context(io), clock(with), settings(std::move(given)), chance(seed),
      onResult(std::move(observer)), servers(settings.servers.size()),
      rateLimiter(settings.questionsASecond), rateTimer(io) {}

Resolver::~Resolver() {
    for (const auto &query : inFlight) {
        query->over = true;
        query->close();
    }
}

void Resolver::follow(const std::string &name, bool haveView) {
    if (watchedNames.contains(name))
        return;
    auto &watched = watchedNames[name];
    watched =
        std::make_unique<WatchedName>(context, name, settings.refresh, std::uint32_t(chance()));
    scheduleLookup(*watched, watched->refresh.first(haveView));
}

void Resolver::refreshWithin(const std::string &name, Duration wanted) {
    const auto found = watchedNames.find(name);
    if (found == watchedNames.end() || found->second->lookup)
        return;
    WatchedName &watched = *found->second;
    const Duration delay = watched.refresh.sooner(wanted);
    if (clock.now() + delay < watched.due)
        scheduleLookup(watched, delay);
}

void Resolver::scheduleLookup(WatchedName &watched, Duration delay) {
    watched.due = clock.now() + delay;
    watched.timer.expires_after(delay);
    watched.timer.async_wait(guard.wrap([this, &watched](asio::error_code fault) {
        if (!fault)
            startLookup(watched);
    }));
}

void Resolver::startLookup(WatchedName &watched) {
    if (watched.lookup)
        return;
    watched.lookup.emplace(watched.name,
                           aged(watched.addresses, clock.now() - watched.addressesAt));
    continueLookup(watched);
}

void Resolver::continueLookup(WatchedName &watched) {
    for (auto &question : watched.lookup->takeQuestions()) {
        auto query = std::make_shared<Query>(context, std::move(question),
                                             servers.order(clock.now()), std::uint32_t(chance()));
        query->forNames.push_back(watched.name);
        enqueue(std::move(query));
    }
    if (watched.lookup && watched.lookup->finished())
        finishLookup(watched);
}

void Resolver::finishLookup(WatchedName &watched) {
    const Found found = watched.lookup->result();
    const bool failed = found.kind == LookupOutcome::failed;
    if (!failed) {
        watched.addresses = watched.lookup->addresses();
        watched.addressesAt = clock.now();
    }
    watched.lookup.reset();
    const Duration lifetime = watched.refresh.lifetime(found);
    scheduleLookup(watched,
                   failed ? watched.refresh.afterFailure() : watched.refresh.afterAnswer(lifetime));
    onResult(watched.name, found, lifetime, watched.server);
}

void Resolver::enqueue(QueryPointer query) {
    // One question in flight a name: names that lead to the same target share the answer.
    const auto isSame = [&](const QueryPointer &other) {
        return !other->over && other->question == query->question;
    };
    const auto sent = std::ranges::find_if(inFlight, isSame);
    const auto queued = std::ranges::find_if(waiting, isSame);
    if (sent != inFlight.end() || queued != waiting.end()) {
        const QueryPointer &shared = sent != inFlight.end() ? *sent : *queued;
        shared->forNames.push_back(query->forNames.front());
        return;
    }
    ++counted.questions;
    waiting.push_back(std::move(query));
    sendWaiting();
}

void Resolver::sendWaiting() {
    while (!waiting.empty() && inFlight.size() < settings.inFlight && !rateLimited) {
        const Duration delay = rateLimiter.take(clock.now());
        if (delay > Duration{0}) {
            rateLimited = true;
            rateTimer.expires_after(delay);
            rateTimer.async_wait(guard.wrap([this](asio::error_code fault) {
                if (fault)
                    return;
                rateLimited = false;
                sendWaiting();
            }));
            return;
        }
        auto query = std::move(waiting.front());
        waiting.pop_front();
        inFlight.insert(query);
        sendNextAttempt(query);
    }
}

void Resolver::sendNextAttempt(const QueryPointer &query) {
    query->close();
    const auto attempt = query->attempts.next();
    if (!attempt) {
        // On a turn of its own: this may be a call from within the lookup's own.
        asio::post(context, guard.wrap([this, query] {
            finishQuery(query, nullptr, query->attempts.fault());
        }));
        return;
    }
    query->current = *attempt;
    query->id = freshId();
    query->sentAt = clock.now();
    ++query->attemptNumber;
    Message message;
    message.id = query->id;
    message.question = query->question;
    query->sent = encode(message, attempt->edns);
    query->timer.emplace(context, attempt->timeout);
    query->timer->async_wait(forAttempt(query, [this, query](asio::error_code fault) {
        if (!fault)
            onAttemptFailed(query, "no answer in time");
    }));
    if (attempt->tcp)
        sendTcp(query);
    else
        sendUdp(query);
}

void Resolver::sendUdp(const QueryPointer &query) {
    ++counted.udp;
    const auto server = settings.servers[query->current.server];
    asio::error_code fault;
    // A socket for each attempt has a port of its own, drawn by the system; connected, it takes
    // datagrams from the server's address and port only (RFC 5452, 9).
    query->datagrams.open(server.protocol(), fault);
    if (!fault)
        query->datagrams.connect(server, fault);
    if (!fault)
        query->datagrams.send(asio::buffer(query->sent), 0, fault);
    if (!fault) {
        receiveUdp(query);
        return;
    }
    asio::post(context, forAttempt(query, [this, query, why = fault.message()] {
                   onAttemptFailed(query, why);
               }));
}

void Resolver::receiveUdp(const QueryPointer &query) {
    query->received.resize(kMostDatagramBytes);
    query->datagrams.async_receive(
        asio::buffer(query->received),
        forAttempt(query, [this, query](asio::error_code fault, std::size_t size) {
            if (fault)  // refused by the host: at once, not at the end of the wait
                onAttemptFailed(query, fault.message());
            else if (!onMessage(query, query->received.data(), size))
                receiveUdp(query);
        }));
}

void Resolver::sendTcp(const QueryPointer &query) {
    ++counted.tcp;
    const auto server = settings.servers[query->current.server];
    const std::size_t size = query->sent.size();
    query->sent.insert(query->sent.begin(), {std::uint8_t(size >> 8), std::uint8_t(size)});
    query->stream.async_connect(tcp::endpoint(server.address(), server.port()),
                                forAttempt(query, [this, query](asio::error_code fault) {
                                    if (fault)
                                        onAttemptFailed(query, "TCP: " + fault.message());
                                    else
                                        writeTcp(query);
                                }));
}

void Resolver::writeTcp(const QueryPointer &query) {
    asio::async_write(query->stream, asio::buffer(query->sent),
                      forAttempt(query, [this, query](asio::error_code fault, std::size_t) {
                          if (fault)
                              onAttemptFailed(query, "TCP: " + fault.message());
                          else
                              receiveTcp(query);
                      }));
}

void Resolver::receiveTcp(const QueryPointer &query) {
    asio::async_read(query->stream, asio::buffer(query->receivedLength),
                     forAttempt(query, [this, query](asio::error_code fault, std::size_t) {
                         if (fault)
                             onAttemptFailed(query, "TCP: " + fault.message());
                         else
                             receiveTcpMessage(query);
                     }));
}

void Resolver::receiveTcpMessage(const QueryPointer &query) {
    const auto &length = query->receivedLength;
    query->received.resize(std::size_t(length[0]) << 8 | length[1]);
    asio::async_read(query->stream, asio::buffer(query->received),
                     forAttempt(query, [this, query](asio::error_code fault, std::size_t size) {
                         if (fault)
                             onAttemptFailed(query, "TCP: " + fault.message());
                         else if (!onMessage(query, query->received.data(), size))
                             receiveTcp(query);
                     }));
}

bool Resolver::onMessage(const QueryPointer &query, const std::uint8_t *bytes, std::size_t size) {
    const auto decoded = decode(bytes, size);
    const auto &message = decoded.message;
    const bool ours = message && message->reply && message->id == query->id &&
                      (message->question == query->question ||
                       // A server that could not read the question may leave it out (RFC 6891, 7).
                       (!message->question && message->code == std::uint8_t(Code::formErr)));
    if (!ours) {
        ++counted.dropped;
        return false;
    }
    if (query->attempts.onReply(*message) == QueryAttempts::ReplyUse::answer) {
        servers.onAnswer(query->current.server, clock.now() - query->sentAt);
        finishQuery(query, &*message, {});
        return true;
    }
    if (isServerFailure(*message))
        servers.onFailure(query->current.server, clock.now());
    sendNextAttempt(query);
    return true;
}

void Resolver::onAttemptFailed(const QueryPointer &query, const std::string &why) {
    servers.onFailure(query->current.server, clock.now());
    query->attempts.onFailure(why);
    sendNextAttempt(query);
}

void Resolver::finishQuery(const QueryPointer &query, const Message *reply,
                           const std::string &fault) {
    if (query->over)
        return;
    query->over = true;
    query->close();
    ++query->attemptNumber;
    inFlight.erase(query);
    ++(reply ? counted.answers : counted.failures);
    for (const auto &name : query->forNames) {
        const auto found = watchedNames.find(name);
        if (found == watchedNames.end() || !found->second->lookup)
            continue;
        auto &watched = *found->second;
        if (reply && query->question.type == Type::srv)
            watched.server = query->current.server;
        if (reply)
            watched.lookup->onReply(query->question, *reply);
        else
            watched.lookup->onFailure(query->question, fault);
        continueLookup(watched);
    }
    sendWaiting();
}

}  // namespace deckcart::dns
