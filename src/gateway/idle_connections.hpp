// Idle connections to instances, the latest used last: kept until they are taken, too old or closed
// by the other side. `Connection` has idleSince, onIdleClosed and drop().
#pragma once

#include <deckcart/policy.hpp>
#include <deque>
#include <map>
#include <memory>

namespace deckcart {

template <class Connection>
class IdleConnections {
  public:
    using Held = std::shared_ptr<Connection>;
    enum class Use { takes, waits, none };  // none: it is dropped

    IdleConnections() = default;
    ~IdleConnections() {
        for (auto &[endpoint, list] : places)
            for (const auto &one : list)
                drop(one);
    }
    IdleConnections(const IdleConnections &) = delete;
    IdleConnections &operator=(const IdleConnections &) = delete;

    void keep(const EndpointId &endpoint, const Held &connection, Duration now) {
        connection->idleSince = now;
        connection->onIdleClosed = [this, endpoint, weak = std::weak_ptr(connection),
                                    here = std::weak_ptr(alive)] {
            const auto one = weak.lock();
            if (here.expired() || !one)
                return;
            if (const auto at = places.find(endpoint); at != places.end())
                std::erase(at->second, one);
        };
        places[endpoint].push_back(connection);
    }
    // The one used last that is of use: the others may end by their idle time. Empty: there is
    // none.
    template <class Judge>
    Held take(const EndpointId &endpoint, Judge judge) {
        const auto at = places.find(endpoint);
        if (at == places.end())
            return nullptr;
        auto &list = at->second;
        for (std::size_t k = list.size(); k-- > 0;) {
            const Held one = list[k];
            const Use use = judge(*one);
            if (use == Use::waits)
                continue;
            list.erase(list.begin() + std::ptrdiff_t(k));
            one->onIdleClosed = nullptr;
            if (use == Use::takes)
                return one;
            one->drop();
        }
        return nullptr;
    }
    void close(const EndpointId &endpoint) {
        const auto at = places.find(endpoint);
        if (at == places.end())
            return;
        const auto list = std::move(at->second);
        places.erase(at);
        for (const auto &one : list)
            drop(one);
    }
    void sweep(Duration now, Duration idleFor) {
        for (auto it = places.begin(); it != places.end();) {
            auto &list = it->second;
            while (!list.empty() && now - list.front()->idleSince >= idleFor)
                dropFirst(list);
            it = list.empty() ? places.erase(it) : std::next(it);
        }
    }
    void dropOldest() {
        std::deque<Held> *oldest = nullptr;
        for (auto &[endpoint, list] : places)
            if (!list.empty() && (!oldest || list.front()->idleSince < oldest->front()->idleSince))
                oldest = &list;
        if (oldest)
            dropFirst(*oldest);
    }
    std::size_t size() const {
        std::size_t n = 0;
        for (const auto &[endpoint, list] : places)
            n += list.size();
        return n;
    }

  private:
    static void drop(const Held &one) { one->onIdleClosed = nullptr, one->drop(); }
    static void dropFirst(std::deque<Held> &list) {
        drop(list.front());
        list.pop_front();
    }
    std::map<EndpointId, std::deque<Held>> places;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace deckcart
