#include "settings_codec.hpp"

#include <algorithm>

#include "json_fields.hpp"

namespace deckcart::simulator {
namespace {

using nlohmann::json;

// Used if the settings have no limit on the requests in flight.
constexpr int kDefaultMaxRequestsInFlight = 4096;
// The field of a load report with the number of requests in flight at the endpoint.
constexpr const char *kInFlightField = "concurrent";

Route readRoute(const json &routeSettings) {
    Route route;
    route.latencyObjective = requiredDuration(routeSettings, "ObjectiveS");
    route.idempotency = requiredKeyword<Idempotency>(routeSettings, "Effect",
                                                     {{"free", Idempotency::idempotent},
                                                      {"guarded", Idempotency::withKey},
                                                      {"single_shot", Idempotency::nonIdempotent}});
    if (routeSettings.contains("Group"))
        route.deduplicationScope =
            requiredKeyword<DeduplicationScope>(routeSettings, "Group",
                                                {{"all", DeduplicationScope::all},
                                                 {"zone", DeduplicationScope::zone},
                                                 {"cell", DeduplicationScope::cell}});
    route.deduplicationWindow = optionalDuration(routeSettings, "WindowS");
    return route;
}

void readRetryLimits(const json &settings, PolicySettings &decoded) {
    const json &limits = objectField(settings, "Limits");
    decoded.hedgingAllowed = optional<bool>(limits, "MayDuplicate");
    decoded.cancellationAllowed = optional<bool>(limits, "Cancel");
    decoded.maxAttempts = optional<int>(limits, "MostTries", 1);
    decoded.maxRetryAfter = optionalDuration(limits, "MaxRetryAfterS");
    decoded.retryAfterSupported = optional<bool>(limits, "RetryAfter");
}

void readLoadReports(const json &settings, PolicySettings &decoded) {
    const json &report = objectField(settings, "Report");
    const bool probes = optional<bool>(objectField(settings, "Limits"), "Probes") &&
                        optional<std::string>(report, "How") == "probe";
    const json &fields = arrayField(report, "Fields");
    for (std::size_t index = 0; index < fields.size(); ++index) {
        const bool inFlight = valueAs<std::string>(fields[index], "Fields") == kInFlightField;
        if (inFlight && probes)
            decoded.inFlightReportField = static_cast<int>(index);
    }
}

void readSlowStart(const json &safety, PolicySettings &decoded) {
    decoded.initialCapacity = optional<double>(safety, "ColdFrom", 1);
    decoded.warmUpTime = optionalDuration(safety, "WarmWithinS");
    decoded.overloadMultiple = optional<double>(safety, "TipMultiple", 1);
    decoded.overloadWindow = optionalDuration(safety, "OverloadForS");
}

void readRollouts(const json &rollouts, PolicySettings &decoded) {
    if (rollouts.contains("GateMode"))
        decoded.promotionRule =
            requiredKeyword<PromotionRule>(rollouts, "GateMode",
                                           {{"first_voice", PromotionRule::firstVote},
                                            {"by_count", PromotionRule::quorum},
                                            {"automatic", PromotionRule::timer}});
    decoded.inPlaceReplacement = optional<std::string>(rollouts, "ReplaceMode") == "replace";
    decoded.exposurePerRoute = optional<std::string>(rollouts, "Per") == "each_class";
    decoded.stickyKeys = optional<bool>(rollouts, "KeysStay");
    decoded.idempotentOnlyStages = optional<int>(rollouts, "GuardedStages");
    decoded.exposureAllowance = optional<double>(rollouts, "SpareTries");
    decoded.exposureWindow = optionalDuration(rollouts, "SpanS");
    decoded.exposureLimits = numbersField(rollouts, "ExposureCaps");
    decoded.stageShares = numbersField(rollouts, "Shares");
    decoded.minStageDuration = optionalDuration(rollouts, "LeastStageS");
    decoded.voteLifetime = optionalDuration(rollouts, "BallotTtlS");
    decoded.voteTimeout = optionalDuration(rollouts, "ApiTimeoutS");
    decoded.votesToRollBack = optional<int>(rollouts, "VotesToRevert", 1);
    decoded.incorrectReportRate = optional<double>(rollouts, "ComplaintShare");
}

}  // namespace

Duration DeploymentSettings::longestTimeout() const {
    return routeTimeouts.empty() ? Duration{0} : *std::ranges::max_element(routeTimeouts);
}

PolicySettings readPolicySettings(const json &settings, std::uint64_t seed) {
    const json &rollouts = objectField(settings, "FamilyInfo");
    // Reports a wrong type of Limits before errors in the fields below.
    (void)objectField(settings, "Limits");
    const json &safety = objectField(settings, "Safety");
    PolicySettings decoded;
    decoded.seed = seed;
    decoded.gateways = optional<int>(settings, "GroupSize", 1);
    decoded.zone = optional<int>(settings, "Locality");
    for (const auto &routeSettings : arrayField(settings, "Grades"))
        decoded.routes.push_back(readRoute(routeSettings));
    for (const auto &tenantSettings : arrayField(settings, "Realms"))
        decoded.tenantQuotas.push_back(optional<double>(tenantSettings, "Share"));
    readRetryLimits(settings, decoded);
    decoded.subscriptionRequired = optional<std::string>(settings, "Discovery") == "subscribe";
    decoded.subscribeWithin = optionalDuration(safety, "AskWithinS");
    decoded.crossZoneCost = optional<double>(objectField(settings, "Fees"), "CrossZone");
    readLoadReports(settings, decoded);
    readSlowStart(safety, decoded);
    readRollouts(rollouts, decoded);
    return decoded;
}

DeploymentSettings readSettings(const json &settings, std::uint64_t seed) {
    if (!settings.is_object())
        throw MalformedInput("", "the settings are not an object");
    DeploymentSettings decoded;
    decoded.policy = readPolicySettings(settings, seed);
    for (const auto &routeSettings : arrayField(settings, "Grades")) {
        decoded.routes.push_back(required<std::string>(routeSettings, "Name"));
        decoded.routeTimeouts.push_back(requiredDuration(routeSettings, "DeadlineS"));
    }
    for (const auto &tenantSettings : arrayField(settings, "Realms"))
        decoded.tenants.push_back(required<std::string>(tenantSettings, "Name"));
    for (const auto &zone : arrayField(settings, "FailureDomains"))
        decoded.zones.push_back(valueAs<std::string>(zone, "FailureDomains"));
    for (const auto &name : arrayField(objectField(settings, "Report"), "Fields"))
        decoded.loadFields.push_back(valueAs<std::string>(name, "Fields"));
    const json &limits = objectField(settings, "Limits");
    decoded.endpointKeepAlive = requiredDuration(limits, "KeepaliveS");
    decoded.connectTimeout = requiredDuration(limits, "ConnectTimeoutS");
    decoded.maxRequestsInFlight =
        std::size_t(std::max(1, optional<int>(limits, "MostHeld", kDefaultMaxRequestsInFlight)));
    if (decoded.routes.empty())
        throw MalformedInput("Grades", "field Grades is empty");
    return decoded;
}

}  // namespace deckcart::simulator
