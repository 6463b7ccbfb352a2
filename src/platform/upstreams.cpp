#include "upstreams.hpp"

#include <algorithm>

#include "front.hpp"

namespace deckcart::platform {

constexpr std::size_t kBesideValue = 4096, kMostLine = 512;  // of a reply: its report, and an error's words

class RespCall : public Call {
  public:
    RespCall(RespUpstreams &of, std::weak_ptr<bool> here, ServerId to, const Directory::Place &at,
             RespUpstreams::Connection over)
        : upstreams(of), alive(std::move(here)), server(std::move(to)), place(at),
          connection(std::move(over)) {}
    ~RespCall() override { release({}); }

    void start(const TakenReq &req, const std::string &, Span left, BuildNo, CallOwner *owner) override {
        connection->call(
            place.address, upstreams.settings.connectWithin, instanceCommand(commandOf(req), left),
            [this, owner](resp::CallEnd how, resp::Value reply) {
                // One that breaks off within its answer is as one that can't be read.
                if (how != resp::CallEnd::complete)
                    return owner->onCallEnd(how == resp::CallEnd::garbage || connection->answerBegun()
                                                ? Outcome::unreadable
                                            : connection->handedOver() ? Outcome::reset
                                                                       : Outcome::connectFailed);
                ReplyRead read = readReply(std::move(reply));
                // What came is no answer of an instance: more may follow.
                if (read.how == Outcome::unreadable) connection->drop();
                if (read.how == Outcome::ok) owner->onAnswer(read.value);
                owner->onCallEnd(read.how);
            });
    }
    bool handedOver() const override { return connection->handedOver(); }
    void look() override { connection->look(); }
    void release(Span) override {
        if (std::exchange(released, true)) return;
        if (alive.expired()) return connection->drop();
        upstreams.give(server, place, connection);
    }

  private:
    RespUpstreams &upstreams;
    std::weak_ptr<bool> alive;
    ServerId server;
    Directory::Place place;
    RespUpstreams::Connection connection;
    bool released = false;
};

RespUpstreams::RespUpstreams(asio::io_context &io, const Clock &time, const Directory &where,
                             const Bounds &most, const wire::BirthSettings &with)
    : context(io), clock(time), directory(where), bounds(most), settings(with) {}

RespUpstreams::~RespUpstreams() {
    for (auto &[id, list] : idle)
        for (const auto &one : list) one.connection->drop();
}

RespUpstreams::Connection RespUpstreams::connect(const ServerId &server, const Directory::Place &place) {
    const auto at = idle.find(server);
    if (at != idle.end()) {
        auto &list = at->second;
        const Span rested = clock.now() - bounds.restFor;
        for (std::size_t k = list.size(); k-- > 0;) {
            const Idle one = list[k];
            const bool former = !(one.place == place);
            if (!former && one.connection->idleSince > rested) continue;
            list.erase(list.begin() + std::ptrdiff_t(k));
            if (former) {
                one.connection->drop();
                --open;
                continue;
            }
            one.connection->onIdleClosed = nullptr;
            if (one.connection->stillQuiet()) return one.connection;
            --open;
        }
    }
    if (open >= bounds.upstreams) dropOldest();
    if (open >= bounds.upstreams) return nullptr;
    ++open;
    return std::make_shared<resp::ClientConnection>(
        context, resp::Limits{4, bounds.valueBytes, bounds.valueBytes + kBesideValue, kMostLine});
}

void RespUpstreams::dropOldest() {
    std::deque<Idle> *least = nullptr;
    for (auto &[id, list] : idle)
        if (!list.empty() &&
            (!least || list.front().connection->idleSince < least->front().connection->idleSince))
            least = &list;
    if (!least) return;
    least->front().connection->drop();
    least->pop_front();
    --open;
}

std::shared_ptr<Call> RespUpstreams::take(const ServerId &server) {
    const auto *place = directory.find(server);
    if (!place) return nullptr;
    const auto connection = connect(server, *place);
    return connection ? std::make_shared<RespCall>(*this, alive, server, *place, connection) : nullptr;
}

void RespUpstreams::give(const ServerId &server, const Directory::Place &place,
                         const Connection &connection) {
    const auto *now = directory.find(server);
    if (!connection->reusable() || !now || !(*now == place)) {
        connection->drop();
        --open;
        return;
    }
    connection->idleSince = clock.now();
    connection->onIdleClosed = [this, server, weak = std::weak_ptr(connection), here = std::weak_ptr(alive)] {
        const auto one = weak.lock();
        if (here.expired() || !one) return;
        const auto at = idle.find(server);
        if (at != idle.end())
            open -= std::erase_if(at->second, [&](const Idle &held) { return held.connection == one; });
    };
    idle[server].push_back({connection, place});
}

void RespUpstreams::closeIdle(const ServerId &server) {
    const auto at = idle.find(server);
    if (at == idle.end()) return;
    for (const auto &one : at->second) one.connection->drop();
    open -= at->second.size();
    idle.erase(at);
}

void RespUpstreams::sweep(Span now) {
    for (auto it = idle.begin(); it != idle.end();) {
        auto &list = it->second;
        while (!list.empty() && now - list.front().connection->idleSince >= bounds.idleFor) {
            list.front().connection->drop();
            list.pop_front();
            --open;
        }
        it = list.empty() ? idle.erase(it) : std::next(it);
    }
}

void RespUpstreams::probe(const ServerId &server, Probed done) {
    const auto *place = directory.find(server);
    const auto connection = place ? connect(server, *place) : nullptr;
    if (!connection) return done({});
    const auto timer = std::make_shared<asio::steady_timer>(context, 2 * settings.connectWithin);
    const auto finish = [this, server, at = *place, connection, timer, done,
                         here = std::weak_ptr(alive)](std::vector<double> load) {
        timer->cancel();
        if (here.expired()) return connection->drop();
        give(server, at, connection);
        done(std::move(load));
    };
    connection->call(place->address, settings.connectWithin, resp::command({"INFO", "load"}),
                     [this, finish, connection](resp::CallEnd how, resp::Value reply) {
                         const bool told =
                             how == resp::CallEnd::complete && reply.kind == resp::Value::Kind::bulk;
                         finish(told ? readLoad(reply.text, settings.loadFields) : std::vector<double>{});
                     });
    timer->async_wait([finish, connection, no = connection->callNumber()](asio::error_code fault) {
        if (fault || connection->callNumber() != no) return;
        connection->drop();
        finish({});
    });
}

}  // namespace deckcart::platform
