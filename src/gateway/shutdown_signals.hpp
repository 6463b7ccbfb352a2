// Handles SIGTERM and SIGINT of a gateway's process: the first signal starts a drain, the second
// ends the process at once.
#pragma once

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <functional>

namespace deckcart {

/// Handlers run on the thread of the io_context and receive the signal number.
class ShutdownSignals {
  public:
    using Handler = std::function<void(int signal)>;

    explicit ShutdownSignals(asio::io_context &context);
    ShutdownSignals(const ShutdownSignals &) = delete;
    ShutdownSignals &operator=(const ShutdownSignals &) = delete;

    /// Starts handling; signals received earlier are handled then. To be called once. Signals
    /// after the second are ignored.
    void start(Handler onFirst, Handler onSecond);

  private:
    asio::signal_set signals;
};

}  // namespace deckcart
