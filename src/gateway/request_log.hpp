// The log line of a request that has ended: a sample of them, as the settings say.
#pragma once

#include <random>

#include "../base/log.hpp"
#include "../settings/gateway_settings.hpp"
#include "request_context.hpp"

namespace deckcart {

class RequestLog {
  public:
    /// The references must outlive this object. Draws from `random` for each request that could be
    /// logged.
    RequestLog(Log log, const GatewaySettings &settings, std::mt19937_64 &random);

    /// `end`: completed, shed, errored or gone. `now`: on the real clock.
    void write(const RequestContext &request, const char *end, TimePoint now);

  private:
    Log log;
    const GatewaySettings &settings;
    std::mt19937_64 &random;
};

}  // namespace deckcart
