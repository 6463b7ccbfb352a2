#include "claims.hpp"

#include <algorithm>
#include <asio/ip/tcp.hpp>

#include "../base/address.hpp"

namespace deckcart::membership {

Reading readingOf(const SrvName &name, const dns::Found &found, Duration at, Duration lifetime,
                  std::string from) {
    Reading reading{at, lifetime, std::move(from), {}, false, {}};
    std::map<int, std::pair<int, int>> ofClass;  // the least weight over 0, and the greatest
    for (const auto &t : found.targets) {
        auto &[least, most] = ofClass.try_emplace(t.srv.priority, 65536, 0).first->second;
        if (t.srv.weight > 0)
            least = std::min<int>(least, t.srv.weight);
        most = std::max<int>(most, t.srv.weight);
    }
    std::set<EndpointId> taken;
    for (const auto &t : found.targets) {
        const auto &[least, most] = ofClass.at(t.srv.priority);
        const double share = most == 0           ? 1
                             : t.srv.weight == 0 ? 0.01 * least / most
                                                 : double(t.srv.weight) / most;
        for (const auto &address : t.addresses) {
            Claim c;
            c.entry.id = format(asio::ip::tcp::endpoint(address, t.srv.port));
            // Two targets with one address and port are one instance, of the better class: they are
            // sorted.
            if (!taken.insert(c.entry.id).second)
                continue;
            c.entry.build = name.build, c.entry.zone = name.zone, c.entry.cell = name.cell;
            c.entry.weight = std::max(0.001, share / double(t.addresses.size()));
            c.priority = t.srv.priority, c.as = t.srv.target;
            reading.claims.push_back(std::move(c));
        }
    }
    reading.unknown.insert(found.unresolved.begin(), found.unresolved.end());
    return reading;
}

}  // namespace deckcart::membership
