// SIGTERM and SIGINT of a gateway's process: the first asks it to drain, the second to end at once.
#pragma once

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <functional>

namespace deckcart {

/// Handlers run on the thread of the io_context, with the signal's number.
class ShutdownSignals {
  public:
    using Handler = std::function<void(int signal)>;

    explicit ShutdownSignals(asio::io_context &context);
    ShutdownSignals(const ShutdownSignals &) = delete;
    ShutdownSignals &operator=(const ShutdownSignals &) = delete;

    /// Until called, signals wait. Once. Those after the second are not handled.
    void start(Handler onFirst, Handler onSecond);

  private:
    asio::signal_set signals;
};

}  // namespace deckcart
