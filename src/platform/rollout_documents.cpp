#include "rollout_documents.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <pugixml.hpp>

#include "../gateway/transport.hpp"
#include "json_fields.hpp"

namespace deckcart::platform {
namespace {

constexpr int kMaxStage = 1000;     // more than any site has
constexpr double kMaxLagMs = 1e12;  // about 30 years
constexpr double kMaxAttempts = 1e9;

constexpr int kHttpOk = 200;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpServerError = 500;

struct PhaseName {
    std::string_view name;
    RolloutPhase phase;
};
constexpr std::array kPhaseNames{
    PhaseName{"Progressing", RolloutPhase::canary},
    PhaseName{"Aborting", RolloutPhase::rollingBack},
    PhaseName{"Healthy", RolloutPhase::released},
    PhaseName{"Aborted", RolloutPhase::rolledBack},
};

RolloutPhase parsePhase(const std::string &text) {
    for (const auto &known : kPhaseNames)
        if (known.name == text)
            return known.phase;
    throwFieldError("progress", "has an unknown value");
}

template <class Fields>
Duration parseLag(const Fields &fields) {
    return Duration{std::llround(fields.number("lag_ms", 0, kMaxLagMs) * 1000)};
}

// JSON documents and forms have the same fields.
template <class Fields>
RolloutUpdate parseUpdateFields(const Fields &fields) {
    RolloutUpdate update;
    update.build = BuildNumber(fields.number("image", 0, kMaxBuild));
    update.step = int(fields.number("ring", 0, kMaxStage));
    update.phase = parsePhase(fields.text("progress"));
    update.exposureLimit = fields.number("ceiling", 0, 1);
    update.age = parseLag(fields);
    return update;
}

Outcome outcomeOfErrorCode(const std::string &code) {
    if (code == "throttled")
        return Outcome::overloaded;
    if (code == "conflict")
        return Outcome::obsolete;
    if (code == "invalid")
        return Outcome::error;
    return Outcome::timeout;
}

RolloutUpdate parseAcceptedVote(const pugi::xml_document &document) {
    Form fields;
    for (const auto &element : document.child("Response").child("items").child("item").children())
        fields.set(element.name(), element.text().get());
    try {
        RolloutUpdate update = parseRolloutUpdate(fields);
        update.isVoteReply = true;
        return update;
    } catch (const ParseError &) {
        return failedVoteUpdate(Outcome::timeout);
    }
}

const char *opinionName(Verdict verdict) {
    switch (verdict) {
    case Verdict::promote:
        return "PROCEED";
    case Verdict::hold:
        return "HOLD";
    case Verdict::rollBack:
        return "ROLLBACK";
    case Verdict::none:
        break;
    }
    return "WITHDRAW";
}

}  // namespace

RolloutUpdate parseRolloutUpdate(const nlohmann::json &document) {
    return parseUpdateFields(JsonFields(document));
}

RolloutUpdate parseRolloutUpdate(const Form &form) {
    return parseUpdateFields(form);
}

UsageReport parseUsageReport(const Form &form, const std::vector<std::string> &routes) {
    const auto route = std::ranges::find(routes, form.text("type"));
    if (route == routes.end())
        throwFieldError("type", "is not the name of a route");
    UsageReport report;
    report.build = BuildNumber(form.number("image", 0, kMaxBuild));
    report.route = int(route - routes.begin());
    report.attempts = int(form.number("n", 0, kMaxAttempts));
    report.failures = int(form.number("bad", 0, kMaxAttempts));
    report.age = parseLag(form);
    if (report.failures > report.attempts)
        throwFieldError("bad", "is greater than n");
    return report;
}

RolloutUpdate parseVoteReply(int status, const std::string &body) {
    if (status == kHttpServerError)
        return failedVoteUpdate(Outcome::error);
    pugi::xml_document document;
    const bool wellFormed =
        document.load_buffer(body.data(), body.size(), pugi::parse_default, pugi::encoding_utf8);
    if (!wellFormed)
        return failedVoteUpdate(Outcome::timeout);
    if (status == kHttpBadRequest)
        return failedVoteUpdate(
            outcomeOfErrorCode(document.child("Error").child("Code").text().get()));
    if (status != kHttpOk)
        return failedVoteUpdate(Outcome::timeout);
    return parseAcceptedVote(document);
}

std::string formatVote(const Vote &vote) {
    return "Action=RecordOpinion&image=" + std::to_string(vote.build) +
           "&ring=" + std::to_string(vote.step) + "&opinion=" + opinionName(vote.verdict);
}

}  // namespace deckcart::platform
