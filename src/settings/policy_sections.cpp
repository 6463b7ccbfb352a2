// The sections on what the decision module may do: allowed, rules, accounts, release. Their
// defaults are those of the documentation for operators, not of PolicySettings.
#include <algorithm>

#include "settings_reader.hpp"

namespace deckcart::settings {
namespace {

using nlohmann::json;

constexpr std::array kPromotionRules{
    Word<PromotionRule>{"first-vote", PromotionRule::firstVote},
    Word<PromotionRule>{"by-count", PromotionRule::quorum},
    Word<PromotionRule>{"clock", PromotionRule::timer},
};

// Shares that are written as decimals may add up to a little over 1.
constexpr double kMaxSumOfShares = 1.0001;

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
    const PolicySettings &policy = reader.settings.module;
    if (policy.exposureLimits.size() != policy.stageShares.size())
        reader.refuse("/release/caps", "has another number of stages than /release/shares");
    if (!std::ranges::is_sorted(policy.exposureLimits))
        reader.refuse("/release/caps", "falls from one stage to the next");
    if (!std::ranges::is_sorted(policy.stageShares))
        reader.refuse("/release/shares", "falls from one stage to the next");
}

void checkVotes(SettingsReader &reader) {
    const PolicySettings &policy = reader.settings.module;
    if (policy.voteTimeout >= policy.voteLifetime)
        reader.refuse("/release/voteAnswerWithinMs",
                      "is not below /release/voteLifeMs: votes would lapse unseen");
    if (policy.votesToRollBack > policy.gateways)
        reader.refuse("/release/votesToGoBack",
                      "is over /gateway/count: a bad build could never be sent back");
}

}  // namespace

void readAllowed(SettingsReader &reader) {
    PolicySettings &policy = reader.settings.module;
    policy.cancellationAllowed = true;
    policy.maxAttempts = 4;
    policy.maxRetryAfter = std::chrono::seconds(1);
    policy.retryAfterSupported = true;
    // The module asks for the list and asks again after a failure: the data path makes no such
    // choice.
    policy.subscriptionRequired = true;
    policy.subscribeWithin = std::chrono::seconds(10);
    const json &from = reader.section("allowed");
    readField(from, "copies", policy.hedgingAllowed);
    readField(from, "cancel", policy.cancellationAllowed);
    readField(from, "mostTries", policy.maxAttempts);
    readField(from, "longestRetryAfterMs", policy.maxRetryAfter);
    readField(from, "askWithinMs", policy.subscribeWithin);
    readField(from, "crossZoneFee", policy.crossZoneCost);
    readField(from, "inHandField", policy.inFlightReportField);
}

void readRules(SettingsReader &reader) {
    PolicySettings &policy = reader.settings.module;
    policy.initialCapacity = 0.3;
    policy.warmUpTime = std::chrono::seconds(5);
    policy.overloadMultiple = 2;
    policy.overloadWindow = std::chrono::seconds(3);
    const json &from = reader.section("rules");
    readField(from, "coldFrom", policy.initialCapacity);
    readField(from, "warmWithinMs", policy.warmUpTime);
    readField(from, "tipMultiple", policy.overloadMultiple);
    readField(from, "overloadForMs", policy.overloadWindow);
    if (policy.initialCapacity <= 0)
        reader.refuse("/rules/coldFrom",
                      "is not over 0: a cold instance would never be sent a req");
}

void readAccounts(SettingsReader &reader) {
    std::vector<std::string> &tenants = reader.settings.tenants;
    double sum = 0;
    const json accounts = reader.document.value("accounts", json::array());
    for (std::size_t index = 0; index < accounts.size(); ++index) {
        const auto name = accounts[index].at("name").get<std::string>();
        const auto share = accounts[index].at("share").get<double>();
        if (std::ranges::find(tenants, name) != tenants.end())
            reader.refuse(elementPath("/accounts", index) + "/name", "stands twice");
        tenants.push_back(name);
        reader.settings.module.tenantQuotas.push_back(share);
        sum += share;
    }
    if (sum > kMaxSumOfShares)
        reader.refuse("/accounts", "the shares add up to more than 1");
}

void readRelease(SettingsReader &reader) {
    PolicySettings &policy = reader.settings.module;
    setReleaseDefaults(policy);
    const json &from = reader.section("release");
    readWord(from, "gate", kPromotionRules, policy.promotionRule);
    readField(from, "replacedInPlace", policy.inPlaceReplacement);
    readField(from, "exposurePerRoute", policy.exposurePerRoute);
    readField(from, "keysStay", policy.stickyKeys);
    readField(from, "guardedStages", policy.idempotentOnlyStages);
    readField(from, "spareTries", policy.exposureAllowance);
    readField(from, "exposureSpanMs", policy.exposureWindow);
    readField(from, "caps", policy.exposureLimits);
    readField(from, "shares", policy.stageShares);
    readField(from, "voteLifeMs", policy.voteLifetime);
    readField(from, "voteAnswerWithinMs", policy.voteTimeout);
    readField(from, "votesToGoBack", policy.votesToRollBack);
    readField(from, "wrongReported", policy.incorrectReportRate);
    checkStages(reader);
    checkVotes(reader);
}

}  // namespace deckcart::settings
