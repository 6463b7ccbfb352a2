#include "resolver.hpp"

#include <algorithm>
#include <random>

namespace deckcart::dns {
namespace {

using asio::ip::tcp;
using asio::ip::udp;

// Ids must not be guessed from outside, so they don't come from the seed.
std::uint16_t freshId() {
    static thread_local std::random_device device;
    return std::uint16_t(device());
}

}  // namespace

struct Resolver::Followed {
    Followed(asio::io_context &io, std::string of, RefreshRules rules, std::uint32_t seed)
        : name(std::move(of)), refresh(rules, seed), timer(io) {}
    std::string name;
    Refresh refresh;
    asio::steady_timer timer;
    std::optional<Lookup> lookup;
    std::size_t server = 0;  // that answered the SRV question
    std::map<std::string, KnownAddresses> addresses;
    Duration addressesAt{};
    Duration due{};  // of the timer
};

struct Resolver::Query {
    Query(asio::io_context &io, Question q, std::vector<std::size_t> order, std::uint32_t seed)
        : question(std::move(q)), asking(std::move(order), seed), timer(io), datagrams(io),
          stream(io) {}
    std::vector<std::string> forNames;  // followed names that wait for it
    Question question;
    Asking asking;
    Attempt now;
    std::uint16_t id = 0;
    Duration sentAt{};
    asio::steady_timer timer;
    udp::socket datagrams;
    tcp::socket stream;
    std::vector<std::uint8_t> bytes, received;
    std::array<std::uint8_t, 2> length{};
    std::uint64_t no = 0;  // of the attempt: what comes for an earlier one is late
    bool over = false;
    void close() {
        asio::error_code ignored;
        timer.cancel(), datagrams.close(ignored), stream.close(ignored);
    }
};

Resolver::Resolver(asio::io_context &io, const Clock &with, ResolverSettings given,
                   std::uint64_t seed, Tell to)
    : context(io), clock(with), settings(std::move(given)), chance(seed), tell(std::move(to)),
      servers(settings.servers.size()), cap(settings.questionsASecond), capTimer(io) {}

Resolver::~Resolver() {
    *alive = false;
    for (const auto &query : out)
        query->over = true, query->close();
}

void Resolver::follow(const std::string &name, bool haveView) {
    if (followed.contains(name))
        return;
    auto &of = *followed
                    .emplace(name, std::make_unique<Followed>(context, name, settings.refresh,
                                                              std::uint32_t(chance())))
                    .first->second;
    wait(of, of.refresh.first(haveView));
}

void Resolver::askAgainIn(const std::string &name, Duration wanted) {
    const auto it = followed.find(name);
    if (it == followed.end() || it->second->lookup)
        return;
    const Duration in = it->second->refresh.sooner(wanted);
    if (clock.now() + in < it->second->due)
        wait(*it->second, in);
}

void Resolver::wait(Followed &of, Duration span) {
    of.due = clock.now() + span;
    of.timer.expires_after(span);
    of.timer.async_wait([this, &of, here = alive](asio::error_code fault) {
        if (!fault && *here)
            startLookup(of);
    });
}

void Resolver::startLookup(Followed &of) {
    if (of.lookup)
        return;
    of.lookup.emplace(of.name, aged(of.addresses, clock.now() - of.addressesAt));
    goOn(of);
}

void Resolver::goOn(Followed &of) {
    for (auto &question : of.lookup->ask()) {
        auto query = std::make_shared<Query>(context, std::move(question),
                                             servers.order(clock.now()), std::uint32_t(chance()));
        query->forNames.push_back(of.name);
        put(std::move(query));
    }
    if (of.lookup && of.lookup->over())
        over(of);
}

void Resolver::over(Followed &of) {
    const Found found = of.lookup->found();
    if (found.kind != FoundKind::failed)
        of.addresses = of.lookup->addresses(), of.addressesAt = clock.now();
    of.lookup.reset();
    const Duration lifetime = of.refresh.lifetime(found);
    wait(of, found.kind == FoundKind::failed ? of.refresh.afterFailure()
                                             : of.refresh.afterAnswer(lifetime));
    tell(of.name, found, lifetime, of.server);
}

void Resolver::put(std::shared_ptr<Query> query) {
    // One question in flight a name: names that lead to the same target share the answer.
    const auto same = [&](const std::shared_ptr<Query> &other) {
        return !other->over && other->question == query->question;
    };
    auto it = std::ranges::find_if(out, same);
    const auto queued = std::ranges::find_if(waiting, same);
    if (it != out.end() || queued != waiting.end()) {
        (it != out.end() ? *it : *queued)->forNames.push_back(query->forNames.front());
        return;
    }
    ++counted.questions;
    waiting.push_back(std::move(query));
    sendWaiting();
}

void Resolver::sendWaiting() {
    while (!waiting.empty() && out.size() < settings.inFlight && !capWaits) {
        if (const Duration in = cap.take(clock.now()); in > Duration{0}) {
            capWaits = true;
            capTimer.expires_after(in);
            capTimer.async_wait([this, here = alive](asio::error_code fault) {
                if (fault || !*here)
                    return;
                capWaits = false;
                sendWaiting();
            });
            return;
        }
        auto query = std::move(waiting.front());
        waiting.pop_front();
        out.insert(query);
        attempt(query);
    }
}

void Resolver::attempt(const std::shared_ptr<Query> &query) {
    query->close();
    const auto what = query->asking.next();
    if (!what) {
        // On a turn of its own: this may be a call from within the lookup's own.
        asio::post(context, [this, query, here = alive] {
            if (*here)
                ended(query, nullptr, query->asking.fault());
        });
        return;
    }
    query->now = *what, query->id = freshId(), query->sentAt = clock.now(), ++query->no;
    Message m;
    m.id = query->id, m.question = query->question;
    query->bytes = encode(m, what->edns);
    query->timer.expires_after(what->within);
    query->timer.async_wait([this, query, no = query->no, here = alive](asio::error_code fault) {
        if (!fault && *here && no == query->no)
            noReply(query, "no answer in time");
    });
    what->tcp ? overTcp(query) : overUdp(query);
}

void Resolver::overUdp(const std::shared_ptr<Query> &query) {
    ++counted.udp;
    const auto to = settings.servers[query->now.server];
    asio::error_code fault;
    // A socket for each attempt has a port of its own, drawn by the system; connected, it takes
    // datagrams from the server's address and port only (RFC 5452, 9).
    query->datagrams.open(to.protocol(), fault);
    if (!fault)
        query->datagrams.connect(to, fault);
    if (!fault)
        query->datagrams.send(asio::buffer(query->bytes), 0, fault);
    if (fault) {
        asio::post(context, [this, query, no = query->no, why = fault.message(), here = alive] {
            if (*here && no == query->no)
                noReply(query, why);
        });
        return;
    }
    readUdp(query);
}

void Resolver::readUdp(const std::shared_ptr<Query> &query) {
    query->received.resize(65535);
    query->datagrams.async_receive(
        asio::buffer(query->received),
        [this, query, no = query->no, here = alive](asio::error_code fault, std::size_t size) {
            if (!*here || query->over || no != query->no)
                return;
            if (fault)
                return noReply(query,
                               fault.message());  // refused by the host: at once, not at the end
            if (!took(query, query->received.data(), size))
                readUdp(query);
        });
}

void Resolver::overTcp(const std::shared_ptr<Query> &query) {
    ++counted.tcp;
    const auto at = settings.servers[query->now.server];
    query->bytes.insert(query->bytes.begin(), {std::uint8_t(query->bytes.size() >> 8),
                                               std::uint8_t(query->bytes.size())});
    query->stream.async_connect(
        tcp::endpoint(at.address(), at.port()),
        [this, query, no = query->no, here = alive](asio::error_code fault) {
            if (!*here || query->over || no != query->no)
                return;
            if (fault)
                return noReply(query, "TCP: " + fault.message());
            asio::async_write(query->stream, asio::buffer(query->bytes),
                              [this, query, no, here](asio::error_code failed, std::size_t) {
                                  if (!*here || query->over || no != query->no)
                                      return;
                                  if (failed)
                                      return noReply(query, "TCP: " + failed.message());
                                  readTcp(query);
                              });
        });
}

void Resolver::readTcp(const std::shared_ptr<Query> &query) {
    const auto failed = [this, query, no = query->no, here = alive](asio::error_code fault) {
        if (!*here || query->over || no != query->no)
            return true;
        if (fault)
            noReply(query, "TCP: " + fault.message());
        return bool(fault);
    };
    asio::async_read(
        query->stream, asio::buffer(query->length),
        [this, query, failed](asio::error_code fault, std::size_t) {
            if (failed(fault))
                return;
            query->received.resize(std::size_t(query->length[0]) << 8 | query->length[1]);
            asio::async_read(query->stream, asio::buffer(query->received),
                             [this, query, failed](asio::error_code cut, std::size_t size) {
                                 if (failed(cut))
                                     return;
                                 if (!took(query, query->received.data(), size))
                                     readTcp(query);
                             });
        });
}

bool Resolver::took(const std::shared_ptr<Query> &query, const std::uint8_t *bytes,
                    std::size_t size) {
    const auto got = decode(bytes, size);
    const bool ours =
        got.message && got.message->reply && got.message->id == query->id &&
        (got.message->question == query->question ||
         // A server that could not read the question may leave it out (RFC 6891, 7).
         (!got.message->question && got.message->code == std::uint8_t(Code::formErr)));
    if (!ours)
        return ++counted.dropped, false;
    if (query->asking.replied(*got.message) == Asking::Use::answer) {
        servers.answered(query->now.server, clock.now() - query->sentAt);
        ended(query, &*got.message, {});
        return true;
    }
    if (ofNoUse(*got.message))
        servers.silent(query->now.server, clock.now());
    attempt(query);
    return true;
}

void Resolver::noReply(const std::shared_ptr<Query> &query, const std::string &why) {
    servers.silent(query->now.server, clock.now());
    query->asking.noReply(why);
    attempt(query);
}

void Resolver::ended(const std::shared_ptr<Query> &query, const Message *reply,
                     const std::string &fault) {
    if (query->over)
        return;
    query->over = true, query->close(), ++query->no;
    out.erase(query);
    ++(reply ? counted.answers : counted.failures);
    for (const auto &name : query->forNames) {
        const auto it = followed.find(name);
        if (it == followed.end() || !it->second->lookup)
            continue;
        auto &of = *it->second;
        if (reply && query->question.type == Type::srv)
            of.server = query->now.server;
        if (reply)
            of.lookup->replied(query->question, *reply);
        else
            of.lookup->failed(query->question, fault);
        goOn(of);
    }
    sendWaiting();
}

}  // namespace deckcart::dns
