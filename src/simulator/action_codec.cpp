#include "action_codec.hpp"

#include "json_fields.hpp"

namespace deckcart::simulator {
namespace {

using nlohmann::json;

int voteCode(Verdict verdict) {
    switch (verdict) {
    case Verdict::none:
        return 0;
    case Verdict::promote:
        return 1;
    case Verdict::hold:
        return 2;
    case Verdict::rollBack:
        return 3;
    }
    return 0;
}

// Encodes each kind of action, without the gateway's id.
struct CommandWriter {
    json operator()(const SendAttempt &action) const {
        return {{"m", "ROUTE"}, {"Req", action.requestId}, {"Instance", action.endpoint}};
    }
    json operator()(const CancelAttempt &action) const {
        return {{"m", "CALL_OFF"}, {"Req", action.requestId}, {"SendNo", action.attemptNumber}};
    }
    json operator()(const ShedRequest &action) const {
        json command{{"m", "DENY"}, {"Req", action.requestId}};
        if (action.retryAfter > Duration{0})
            command["RetryInS"] = secondsOf(action.retryAfter);
        return command;
    }
    json operator()(const FailRequest &action) const {
        return {{"m", "END_FAILED"}, {"Req", action.requestId}};
    }
    json operator()(const SetTimer &action) const {
        return {{"m", "SLEEP"}, {"SleepForS", secondsOf(action.delay)}, {"Handle", 0}};
    }
    json operator()(const ProbeEndpoint &action) const {
        return {{"m", "INSPECT"}, {"Instance", action.endpoint}};
    }
    json operator()(const WatchEndpoints &action) const {
        return {{"m", "KEEP_INFORMED"}, {"Active", action.active}};
    }
    json operator()(const Vote &action) const {
        return {{"m", "OPINION"},
                {"BuildNo", action.build},
                {"Step", action.step},
                {"Sense", voteCode(action.verdict)}};
    }
    json operator()(const LogLine &action) const {
        return {{"m", "SAY_LOG"}, {"Words", action.message}};
    }
};

}  // namespace

json writeAction(GatewayId gateway, const Action &action) {
    json command = std::visit(CommandWriter{}, action);
    command["Who"] = gateway;
    return command;
}

}  // namespace deckcart::simulator
