#include "shutdown_signals.hpp"

#include <csignal>

namespace deckcart {

ShutdownSignals::ShutdownSignals(asio::io_context &context) : signals(context, SIGTERM, SIGINT) {}

void ShutdownSignals::start(Handler onFirst, Handler onSecond) {
    signals.async_wait([this, onFirst = std::move(onFirst),
                        onSecond = std::move(onSecond)](asio::error_code error, int first) {
        if (error)
            return;
        onFirst(first);
        signals.async_wait([onSecond](asio::error_code secondError, int second) {
            if (!secondError)
                onSecond(second);
        });
    });
}

}  // namespace deckcart
