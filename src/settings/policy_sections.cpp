// Readers of the sections for the decision module: allowed, rules, accounts, release. The defaults
// are those documented for operators, which differ from those of PolicySettings.
#include <algorithm>

#include "settings_reader.hpp"

namespace deckcart::settings {
namespace {

using nlohmann::json;

constexpr std::array kPromotionRules{
    EnumName<PromotionRule>{"first-vote", PromotionRule::firstVote},
    EnumName<PromotionRule>{"by-count", PromotionRule::quorum},
    EnumName<PromotionRule>{"clock", PromotionRule::timer},
};

// Slightly above 1, since shares that are written as decimals may add up to a little more.
constexpr double kMaxShareSum = 1.0001;

void setReleaseDefaults(PolicySettings &policy) {
    policy.promotionRule = PromotionRule::quorum;
    policy.exposureAllowance = 2;
    policy.exposureWindow = std::chrono::seconds(4);
    policy.exposureLimits = {0.1, 0.4, 1};
    policy.stageShares = {0.1, 0.4, 1};
    policy.voteLifetime = std::chrono::seconds(6);
    policy.voteTimeout = std::chrono::milliseconds(800);
}

void checkStages(SettingsReader &reader) {
    const PolicySettings &policy = reader.settings.policy;
    if (policy.exposureLimits.size() != policy.stageShares.size())
        reader.refuse("/release/caps", "must have as many stages as /release/shares");
    if (!std::ranges::is_sorted(policy.exposureLimits))
        reader.refuse("/release/caps", "must not decrease from one stage to the next");
    if (!std::ranges::is_sorted(policy.stageShares))
        reader.refuse("/release/shares", "must not decrease from one stage to the next");
}

void checkVotes(SettingsReader &reader) {
    const PolicySettings &policy = reader.settings.policy;
    if (policy.voteTimeout >= policy.voteLifetime)
        reader.refuse(
            "/release/voteAnswerWithinMs",
            "must be less than /release/voteLifeMs: a vote would expire before its missing "
            "response is noticed");
    if (policy.votesToRollBack > policy.gateways)
        reader.refuse("/release/votesToGoBack",
                      "must not exceed /gateway/count: a bad build could never be rolled back");
}

}  // namespace

void readAllowed(SettingsReader &reader) {
    PolicySettings &policy = reader.settings.policy;
    policy.cancellationAllowed = true;
    policy.maxAttempts = 4;
    policy.maxRetryAfter = std::chrono::seconds(1);
    policy.retryAfterSupported = true;
    // The module subscribes to the endpoint list and decides when to do so again after a failure;
    // the data path doesn't.
    policy.subscriptionRequired = true;
    policy.subscribeWithin = std::chrono::seconds(10);
    const json &section = reader.section("allowed");
    readField(section, "copies", policy.hedgingAllowed);
    readField(section, "cancel", policy.cancellationAllowed);
    readField(section, "mostTries", policy.maxAttempts);
    readField(section, "longestRetryAfterMs", policy.maxRetryAfter);
    readField(section, "askWithinMs", policy.subscribeWithin);
    readField(section, "crossZoneFee", policy.crossZoneCost);
    readField(section, "inHandField", policy.inFlightReportField);
}

void readRules(SettingsReader &reader) {
    PolicySettings &policy = reader.settings.policy;
    policy.initialCapacity = 0.3;
    policy.warmUpTime = std::chrono::seconds(5);
    policy.overloadMultiple = 2;
    policy.overloadWindow = std::chrono::seconds(3);
    const json &section = reader.section("rules");
    readField(section, "coldFrom", policy.initialCapacity);
    readField(section, "warmWithinMs", policy.warmUpTime);
    readField(section, "tipMultiple", policy.overloadMultiple);
    readField(section, "overloadForMs", policy.overloadWindow);
    if (policy.initialCapacity <= 0)
        reader.refuse("/rules/coldFrom",
                      "must be greater than 0: a cold endpoint would never be sent a request");
}

void readAccounts(SettingsReader &reader) {
    std::vector<std::string> &tenants = reader.settings.tenants;
    double sum = 0;
    const json accounts = reader.document.value("accounts", json::array());
    for (std::size_t index = 0; index < accounts.size(); ++index) {
        const auto name = accounts[index].at("name").get<std::string>();
        const auto share = accounts[index].at("share").get<double>();
        if (std::ranges::find(tenants, name) != tenants.end())
            reader.refuse(elementPath("/accounts", index) + "/name",
                          "is used by an earlier account: names must be unique");
        tenants.push_back(name);
        reader.settings.policy.tenantQuotas.push_back(share);
        sum += share;
    }
    if (sum > kMaxShareSum)
        reader.refuse("/accounts", "the shares must not add up to more than 1");
}

void readRelease(SettingsReader &reader) {
    PolicySettings &policy = reader.settings.policy;
    setReleaseDefaults(policy);
    const json &section = reader.section("release");
    readEnum(section, "gate", kPromotionRules, policy.promotionRule);
    readField(section, "replacedInPlace", policy.inPlaceReplacement);
    readField(section, "exposurePerRoute", policy.exposurePerRoute);
    readField(section, "keysStay", policy.stickyKeys);
    readField(section, "guardedStages", policy.idempotentOnlyStages);
    readField(section, "spareTries", policy.exposureAllowance);
    readField(section, "exposureSpanMs", policy.exposureWindow);
    readField(section, "caps", policy.exposureLimits);
    readField(section, "shares", policy.stageShares);
    readField(section, "voteLifeMs", policy.voteLifetime);
    readField(section, "voteAnswerWithinMs", policy.voteTimeout);
    readField(section, "votesToGoBack", policy.votesToRollBack);
    readField(section, "wrongReported", policy.incorrectReportRate);
    checkStages(reader);
    checkVotes(reader);
}

}  // namespace deckcart::settings
