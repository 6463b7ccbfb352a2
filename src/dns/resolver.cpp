#include "resolver.hpp"

#include <algorithm>
#include <array>
#include <random>

namespace deckcart::dns {
namespace {

using asio::ip::tcp;
using asio::ip::udp;

// The length field of a datagram allows no more (RFC 768).
constexpr std::size_t kMaxDatagramBytes = 65535;

// Ids must be unpredictable to an attacker, so they are not derived from the seed (RFC 5452, 9.2).
std::uint16_t randomId() {
    static thread_local std::random_device device;
    return std::uint16_t(device());
}

}  // namespace

struct Resolver::WatchedName {
    WatchedName(asio::io_context &io, std::string watchedName, RefreshRules rules,
                std::uint32_t seed)
        : name(std::move(watchedName)), refresh(rules, seed), timer(io) {}

    std::string name;
    RefreshSchedule refresh;
    asio::steady_timer timer;
    std::optional<Lookup> lookup;  // in progress
    std::size_t server = 0;        // sent the SRV reply
    AddressCache addresses;
    TimePoint addressesAt{};
    TimePoint dueAt{};  // of the next lookup
};

struct Resolver::Query {
    Query(asio::io_context &io, Question toSend, std::vector<std::size_t> order, std::uint32_t seed)
        : question(std::move(toSend)), attempts(std::move(order), seed), udpSocket(io),
          tcpSocket(io) {}

    void close() {
        asio::error_code ignored;
        timer.reset();
        udpSocket.close(ignored);
        tcpSocket.close(ignored);
    }

    std::vector<std::string> waitingNames;  // watched names that wait for the reply
    Question question;
    QueryAttempts attempts;
    QueryAttempt current;
    std::uint64_t attemptNumber = 0;  // callbacks of earlier attempts are ignored
    std::uint16_t id = 0;
    TimePoint sentAt{};
    std::optional<asio::steady_timer> timer;  // of the current attempt; empty: cancelled
    udp::socket udpSocket;
    tcp::socket tcpSocket;
    std::vector<std::uint8_t> sent;
    std::vector<std::uint8_t> received;
    std::array<std::uint8_t, 2> receivedLength{};  // length prefix over TCP (RFC 1035, 4.2.2)
    bool finished = false;
};

template <class Callback>
auto Resolver::forAttempt(const QueryPointer &query, Callback callback) const {
    return guard.wrap([query, attempt = query->attemptNumber,
                       callback = std::move(callback)](const auto &...arguments) {
        if (!query->finished && attempt == query->attemptNumber)
            callback(arguments...);
    });
}

Resolver::Resolver(asio::io_context &io, const Clock &loopClock, ResolverSettings resolverSettings,
                   std::uint64_t seed, OnResult callback)
    : context(io), clock(loopClock), settings(std::move(resolverSettings)), random(seed),
      onResult(std::move(callback)), servers(settings.servers.size()),
      rateLimiter(settings.questionsPerSecond), rateTimer(io) {}

Resolver::~Resolver() {
    for (const auto &query : inFlight) {
        query->finished = true;
        query->close();
    }
}

void Resolver::watch(const std::string &name, bool haveList) {
    if (watchedNames.contains(name))
        return;
    auto &watched = watchedNames[name];
    watched =
        std::make_unique<WatchedName>(context, name, settings.refresh, std::uint32_t(random()));
    scheduleLookup(*watched, watched->refresh.firstDelay(haveList));
}

void Resolver::refreshAfter(const std::string &name, Duration minDelay) {
    const auto found = watchedNames.find(name);
    if (found == watchedNames.end() || found->second->lookup)
        return;
    WatchedName &watched = *found->second;
    const Duration delay = watched.refresh.confirmationDelay(minDelay);
    if (clock.now() + delay < watched.dueAt)
        scheduleLookup(watched, delay);
}

void Resolver::scheduleLookup(WatchedName &watched, Duration delay) {
    watched.dueAt = clock.now() + delay;
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
                                             servers.order(clock.now()), std::uint32_t(random()));
        query->waitingNames.push_back(watched.name);
        enqueue(std::move(query));
    }
    if (watched.lookup && watched.lookup->finished())
        finishLookup(watched);
}

void Resolver::finishLookup(WatchedName &watched) {
    const LookupResult found = watched.lookup->result();
    const bool failed = found.outcome == LookupOutcome::failed;
    if (!failed) {
        watched.addresses = watched.lookup->addresses();
        watched.addressesAt = clock.now();
    }
    watched.lookup.reset();
    const Duration lifetime = watched.refresh.lifetime(found);
    scheduleLookup(watched, failed ? watched.refresh.delayAfterFailure()
                                   : watched.refresh.delayAfterAnswer(lifetime));
    onResult(watched.name, found, lifetime, watched.server);
}

void Resolver::enqueue(QueryPointer query) {
    // Each question is in flight only once: services with the same target share the reply.
    const auto isSame = [&](const QueryPointer &other) {
        return !other->finished && other->question == query->question;
    };
    const auto sent = std::ranges::find_if(inFlight, isSame);
    const auto queued = std::ranges::find_if(queue, isSame);
    if (sent != inFlight.end() || queued != queue.end()) {
        const QueryPointer &shared = sent != inFlight.end() ? *sent : *queued;
        shared->waitingNames.push_back(query->waitingNames.front());
        return;
    }
    ++counters.questions;
    queue.push_back(std::move(query));
    sendQueued();
}

void Resolver::sendQueued() {
    while (!queue.empty() && inFlight.size() < settings.inFlight && !rateLimited) {
        const Duration delay = rateLimiter.take(clock.now());
        if (delay > Duration{0}) {
            rateLimited = true;
            rateTimer.expires_after(delay);
            rateTimer.async_wait(guard.wrap([this](asio::error_code fault) {
                if (fault)
                    return;
                rateLimited = false;
                sendQueued();
            }));
            return;
        }
        auto query = std::move(queue.front());
        queue.pop_front();
        inFlight.insert(query);
        sendNextAttempt(query);
    }
}

void Resolver::sendNextAttempt(const QueryPointer &query) {
    query->close();
    const auto attempt = query->attempts.next();
    if (!attempt) {
        // Posted: this call may come from continueLookup(), which must not be entered again.
        asio::post(context, guard.wrap([this, query] {
            finishQuery(query, nullptr, query->attempts.fault());
        }));
        return;
    }
    query->current = *attempt;
    query->id = randomId();
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
    ++counters.udp;
    const auto server = settings.servers[query->current.server];
    asio::error_code fault;
    // Each attempt has a socket of its own, with a random port chosen by the system. As the socket
    // is connected, it only receives datagrams from the server's address and port (RFC 5452, 9).
    query->udpSocket.open(server.protocol(), fault);
    if (!fault)
        query->udpSocket.connect(server, fault);
    if (!fault)
        query->udpSocket.send(asio::buffer(query->sent), 0, fault);
    if (!fault) {
        receiveUdp(query);
        return;
    }
    asio::post(context, forAttempt(query, [this, query, why = fault.message()] {
                   onAttemptFailed(query, why);
               }));
}

void Resolver::receiveUdp(const QueryPointer &query) {
    query->received.resize(kMaxDatagramBytes);
    query->udpSocket.async_receive(
        asio::buffer(query->received),
        forAttempt(query, [this, query](asio::error_code fault, std::size_t size) {
            if (fault)  // such as port unreachable: fails now, not at the timeout
                onAttemptFailed(query, fault.message());
            else if (!onMessage(query, query->received.data(), size))
                receiveUdp(query);
        }));
}

void Resolver::sendTcp(const QueryPointer &query) {
    ++counters.tcp;
    const auto server = settings.servers[query->current.server];
    const std::size_t size = query->sent.size();
    query->sent.insert(query->sent.begin(), {std::uint8_t(size >> 8), std::uint8_t(size)});
    query->tcpSocket.async_connect(tcp::endpoint(server.address(), server.port()),
                                   forAttempt(query, [this, query](asio::error_code fault) {
                                       if (fault)
                                           onAttemptFailed(query, "TCP: " + fault.message());
                                       else
                                           writeTcp(query);
                                   }));
}

void Resolver::writeTcp(const QueryPointer &query) {
    asio::async_write(query->tcpSocket, asio::buffer(query->sent),
                      forAttempt(query, [this, query](asio::error_code fault, std::size_t) {
                          if (fault)
                              onAttemptFailed(query, "TCP: " + fault.message());
                          else
                              receiveTcp(query);
                      }));
}

void Resolver::receiveTcp(const QueryPointer &query) {
    asio::async_read(query->tcpSocket, asio::buffer(query->receivedLength),
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
    asio::async_read(query->tcpSocket, asio::buffer(query->received),
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
    const bool isReply =
        message && message->reply && message->id == query->id &&
        (message->question == query->question ||
         // A server that could not parse the question may omit it (RFC 6891, 7).
         (!message->question && message->code == std::uint8_t(ResponseCode::formErr)));
    if (!isReply) {
        ++counters.dropped;
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
    if (query->finished)
        return;
    query->finished = true;
    query->close();
    ++query->attemptNumber;
    inFlight.erase(query);
    ++(reply ? counters.answers : counters.failures);
    for (const auto &name : query->waitingNames) {
        const auto found = watchedNames.find(name);
        if (found == watchedNames.end() || !found->second->lookup)
            continue;
        auto &watched = *found->second;
        if (reply && query->question.type == RecordType::srv)
            watched.server = query->current.server;
        if (reply)
            watched.lookup->onReply(query->question, *reply);
        else
            watched.lookup->onFailure(query->question, fault);
        continueLookup(watched);
    }
    sendQueued();
}

}  // namespace deckcart::dns
