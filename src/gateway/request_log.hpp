// Logs a configured sample of the requests that have ended, one line each.
#pragma once

#include <random>

#include "../base/log.hpp"
#include "../settings/gateway_settings.hpp"
#include "request_context.hpp"

namespace deckcart {

class RequestLog {
  public:
    /// The references must outlive this object. Draws one number from `random` for each request
    /// that may be logged.
    RequestLog(Log log, const GatewaySettings &settings, std::mt19937_64 &random);

    /// `end` is completed, shed, errored or gone. `now` is on the real clock.
    void write(const RequestContext &request, const char *end, TimePoint now);

  private:
    Log log;
    const GatewaySettings &settings;
    std::mt19937_64 &random;
};

}  // namespace deckcart
