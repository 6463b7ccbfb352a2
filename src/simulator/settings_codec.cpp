#include "settings_codec.hpp"

#include <algorithm>

#include "json_fields.hpp"

namespace deckcart::simulator {
namespace {

using nlohmann::json;

// Where the settings state no bound on what a gateway holds at once.
constexpr int kDefaultMaxRequestsInFlight = 4096;
// The field of a load report that counts the requests an endpoint is working on.
constexpr const char *kInFlightField = "concurrent";

Route readRoute(const json &grade) {
    Route route;
    route.latencyObjective = requiredDuration(grade, "ObjectiveS");
    route.idempotency = requiredKeyword<Idempotency>(grade, "Effect",
                                                     {{"free", Idempotency::idempotent},
                                                      {"guarded", Idempotency::withKey},
                                                      {"single_shot", Idempotency::nonIdempotent}});
    if (grade.contains("Group"))
        route.deduplicationScope =
            requiredKeyword<DeduplicationScope>(grade, "Group",
                                                {{"all", DeduplicationScope::all},
                                                 {"zone", DeduplicationScope::zone},
                                                 {"cell", DeduplicationScope::cell}});
    route.deduplicationWindow = optionalDuration(grade, "WindowS");
    return route;
}

void readRetryLimits(const json &settings, PolicySettings &out) {
    const json &limits = objectField(settings, "Limits");
    out.hedgingAllowed = optional<bool>(limits, "MayDuplicate");
    out.cancellationAllowed = optional<bool>(limits, "Cancel");
    out.maxAttempts = optional<int>(limits, "MostTries", 1);
    out.maxRetryAfter = optionalDuration(limits, "MaxRetryAfterS");
    out.retryAfterSupported = optional<bool>(limits, "RetryAfter");
}

void readLoadReports(const json &settings, PolicySettings &out) {
    const json &report = objectField(settings, "Report");
    const bool probes = optional<bool>(objectField(settings, "Limits"), "Probes") &&
                        optional<std::string>(report, "How") == "probe";
    const json &fields = arrayField(report, "Fields");
    for (std::size_t index = 0; index < fields.size(); ++index) {
        const bool inFlight = valueAs<std::string>(fields[index], "Fields") == kInFlightField;
        if (inFlight && probes)
            out.inFlightReportField = static_cast<int>(index);
    }
}

void readSlowStart(const json &safety, PolicySettings &out) {
    out.initialCapacity = optional<double>(safety, "ColdFrom", 1);
    out.warmUpTime = optionalDuration(safety, "WarmWithinS");
    out.overloadMultiple = optional<double>(safety, "TipMultiple", 1);
    out.overloadWindow = optionalDuration(safety, "OverloadForS");
}

void readRollouts(const json &family, PolicySettings &out) {
    if (family.contains("GateMode"))
        out.promotionRule =
            requiredKeyword<PromotionRule>(family, "GateMode",
                                           {{"first_voice", PromotionRule::firstVote},
                                            {"by_count", PromotionRule::quorum},
                                            {"automatic", PromotionRule::timer}});
    out.inPlaceReplacement = optional<std::string>(family, "ReplaceMode") == "replace";
    out.exposurePerRoute = optional<std::string>(family, "Per") == "each_class";
    out.stickyKeys = optional<bool>(family, "KeysStay");
    out.idempotentOnlyStages = optional<int>(family, "GuardedStages");
    out.exposureAllowance = optional<double>(family, "SpareTries");
    out.exposureWindow = optionalDuration(family, "SpanS");
    out.exposureLimits = numbersField(family, "ExposureCaps");
    out.stageShares = numbersField(family, "Shares");
    out.minStageDuration = optionalDuration(family, "LeastStageS");
    out.voteLifetime = optionalDuration(family, "BallotTtlS");
    out.voteTimeout = optionalDuration(family, "ApiTimeoutS");
    out.votesToRollBack = optional<int>(family, "VotesToRevert", 1);
    out.incorrectReportRate = optional<double>(family, "ComplaintShare");
}

}  // namespace

Duration DeploymentSettings::longestTimeout() const {
    return routeTimeouts.empty() ? Duration{0} : *std::ranges::max_element(routeTimeouts);
}

PolicySettings readPolicySettings(const json &settings, std::uint64_t seed) {
    const json &rollouts = objectField(settings, "FamilyInfo");
    (void)objectField(settings, "Limits");  // a wrong type is refused before what follows
    const json &safety = objectField(settings, "Safety");
    PolicySettings out;
    out.seed = seed;
    out.gateways = optional<int>(settings, "GroupSize", 1);
    out.zone = optional<int>(settings, "Locality");
    for (const auto &grade : arrayField(settings, "Grades"))
        out.routes.push_back(readRoute(grade));
    for (const auto &realm : arrayField(settings, "Realms"))
        out.tenantQuotas.push_back(optional<double>(realm, "Share"));
    readRetryLimits(settings, out);
    out.subscriptionRequired = optional<std::string>(settings, "Discovery") == "subscribe";
    out.subscribeWithin = optionalDuration(safety, "AskWithinS");
    out.crossZoneCost = optional<double>(objectField(settings, "Fees"), "CrossZone");
    readLoadReports(settings, out);
    readSlowStart(safety, out);
    readRollouts(rollouts, out);
    return out;
}

DeploymentSettings readSettings(const json &settings, std::uint64_t seed) {
    if (!settings.is_object())
        throw MalformedInput("", "the settings are no object");
    DeploymentSettings out;
    out.start = readPolicySettings(settings, seed);
    for (const auto &grade : arrayField(settings, "Grades")) {
        out.routes.push_back(required<std::string>(grade, "Name"));
        out.routeTimeouts.push_back(requiredDuration(grade, "DeadlineS"));
    }
    for (const auto &realm : arrayField(settings, "Realms"))
        out.tenants.push_back(required<std::string>(realm, "Name"));
    for (const auto &zone : arrayField(settings, "FailureDomains"))
        out.zones.push_back(valueAs<std::string>(zone, "FailureDomains"));
    for (const auto &name : arrayField(objectField(settings, "Report"), "Fields"))
        out.loadFields.push_back(valueAs<std::string>(name, "Fields"));
    const json &limits = objectField(settings, "Limits");
    out.keptIdle = requiredDuration(limits, "KeepaliveS");
    out.connectWithin = requiredDuration(limits, "ConnectTimeoutS");
    out.maxRequestsInFlight =
        std::size_t(std::max(1, optional<int>(limits, "MostHeld", kDefaultMaxRequestsInFlight)));
    if (out.routes.empty())
        throw MalformedInput("Grades", "field Grades is empty");
    return out;
}

}  // namespace deckcart::simulator
