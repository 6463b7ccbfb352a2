#include "claims.hpp"

#include <algorithm>
#include <asio/ip/tcp.hpp>
#include <map>
#include <optional>

#include "../base/address.hpp"

namespace deckcart::membership {
namespace {

// Weight of a target with weight 0, relative to the least weight above 0.
constexpr double kZeroWeightShare = 0.01;
// The decision module accepts no weight of 0; this is negligible beside 1.
constexpr double kLeastWeight = 0.001;

// The weights of the targets of one priority class.
struct ClassWeights {
    std::optional<int> leastAboveZero;
    int greatest = 0;

    void add(int weight) {
        if (weight > 0)
            leastAboveZero = std::min(leastAboveZero.value_or(weight), weight);
        greatest = std::max(greatest, weight);
    }
    double relative(int weight) const {
        if (!leastAboveZero)
            return 1;
        if (weight == 0)
            return kZeroWeightShare * *leastAboveZero / greatest;
        return double(weight) / greatest;
    }
};

}  // namespace

Reading makeReading(const SrvName &name, const dns::LookupResult &found, TimePoint at,
                    Duration lifetime, std::string from) {
    Reading reading{at, lifetime, std::move(from), {}, false, {}};
    std::map<int, ClassWeights> classes;
    for (const auto &target : found.targets)
        classes[target.srv.priority].add(target.srv.weight);
    std::set<EndpointId> seen;
    for (const auto &target : found.targets) {
        const double weight = classes.at(target.srv.priority).relative(target.srv.weight);
        for (const auto &address : target.addresses) {
            Claim claim;
            claim.entry.id = format(asio::ip::tcp::endpoint(address, target.srv.port));
            // Two targets with the same address and port are one endpoint. The targets are sorted
            // by priority, so the first one has the better class.
            if (!seen.insert(claim.entry.id).second)
                continue;
            claim.entry.build = name.build;
            claim.entry.zone = name.zone;
            claim.entry.cell = name.cell;
            claim.entry.weight = std::max(kLeastWeight, weight / double(target.addresses.size()));
            claim.priority = target.srv.priority;
            claim.listedAs = target.srv.target;
            reading.claims.push_back(std::move(claim));
        }
    }
    reading.unresolved.insert(found.unresolved.begin(), found.unresolved.end());
    return reading;
}

}  // namespace deckcart::membership
