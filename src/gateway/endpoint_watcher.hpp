// Follows the sources of the list, hands what they say to the merge and tells the module the set.
// Chooses nothing: when to ask is src/dns/asking's, what is believed src/membership/merge's
// business.
#pragma once

#include <nlohmann/json.hpp>

#include "../base/log.hpp"
#include "../dns/resolver.hpp"
#include "../settings/gateway_settings.hpp"

namespace deckcart {

class EndpointWatcher {
  public:
    using Tell = std::function<void(Event)>;
    using Now = std::function<Duration()>;
    // `saved`: what a process before this one knew; `before`: the feed of the settings before
    // these.
    EndpointWatcher(asio::io_context &context, const Clock &clock, const GatewaySettings &settings,
                    std::uint64_t seed, Log log, Now now, Tell tell,
                    const std::vector<membership::SavedSource> &saved,
                    const EndpointWatcher *before);

    // The control plane's list, where it is a source; events of other kinds are the module's.
    void onControlPlaneUpdate(const EndpointListUpdate &list);
    void onControlPlaneFailure();
    // The set as it is now, if there is one: the module asks for it.
    void tellAgain();

    membership::View view();
    const std::vector<membership::SourceRule> &sources() const { return rules.sources; }
    std::vector<membership::SavedSource> saved() const { return merge.saved(); }
    dns::ResolverCounts asked() const {
        return resolver ? resolver->counts() : dns::ResolverCounts{};
    }
    Duration now() const { return clock(); }
    std::function<void()> onRead;  // a source was read: there is something to save

  private:
    void found(const std::string &name, const dns::Found &what, Duration lifetime,
               std::size_t server);
    void look(bool again);

    Now clock;
    Tell tell;
    Log log;
    membership::MergeRules rules;
    membership::Merge merge;
    std::optional<std::size_t> controlPlane;
    std::map<std::string, std::pair<std::size_t, membership::SrvName>> names;
    std::vector<std::string> servers;
    std::vector<EndpointEntry> last;  // as the module was told
    bool everTold = false;
    std::map<std::string, std::string> faults;  // by name, as logged
    asio::steady_timer timer;
    std::unique_ptr<dns::Resolver> resolver;
};

nlohmann::json toJson(const membership::View &view,
                      const std::vector<membership::SourceRule> &sources,
                      const std::vector<std::string> &zones, Duration now);
// Times as ages at `now`; reading back adds what has passed since.
nlohmann::json toJson(const std::vector<membership::SavedSource> &saved, Duration now);
// Throws where it is not such a document.
std::vector<membership::SavedSource> readSaved(const nlohmann::json &from, Duration now,
                                               Duration passed);

}  // namespace deckcart
