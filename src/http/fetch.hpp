// One HTTP call to a server of this system: the control plane, an endpoint's health check or a
// gateway's API. A call ends with the whole response or with a timeout. A watch reports the
// response while it is received and ends when the peer sends nothing for the timeout.
#pragma once

#include "client.hpp"

namespace deckcart::http {

/// Result of a call.
struct Fetched {
    bool inTime = true;           ///< the call did not time out
    bool startedSending = false;  ///< bytes were sent, so the server may have processed the call
    CallEnd outcome = CallEnd::complete;
    ResponseHead head;
    std::string body;  ///< empty for a watch with status 200, which reports its body

    bool ok() const { return inTime && outcome == CallEnd::complete && head.status / 100 == 2; }
};

/// Keeps itself alive until it has ended. Runs on the event loop's thread only.
class Fetch : public std::enable_shared_from_this<Fetch>, private CallHandler {
  public:
    using DoneCallback = std::function<void(const Fetched &)>;
    using DataCallback = std::function<void(std::string_view)>;
    /// How a watch reports its body: one line per callback, without the line feed, or in the pieces
    /// in which it is received.
    enum class Cut { atLines, nowhere };

    /// Starts a call. Calls `onDone` exactly once, never from within start(), unless stop() is
    /// called before. Adds the Host field if the head has none.
    /// @param timeout  limit for the whole call; for a watch, the longest time without data
    /// @param onData  set for a watch: called with parts of the body of a response with status 200
    static std::shared_ptr<Fetch> start(asio::io_context &context,
                                        const asio::ip::tcp::endpoint &to, RequestHead head,
                                        const std::string &body, Duration timeout,
                                        DoneCallback onDone, DataCallback onData = nullptr,
                                        Cut cut = Cut::atLines);
    /// Cancels the call; no callback is called after that.
    void stop();

  private:
    explicit Fetch(asio::io_context &context);
    void onResponseHead(const ResponseHead &head) override;
    void onResponseBody(std::string_view part) override;
    void onCallEnd(CallEnd outcome) override;
    void startTimer();
    void reportLines();
    void fail();
    void finish();

    std::shared_ptr<ClientConnection> connection;
    asio::steady_timer timer;
    Duration timeout{};
    Fetched result;
    DoneCallback onDone;
    DataCallback onData;
    Cut cut = Cut::atLines;
    std::string partialLine;
    std::shared_ptr<Fetch> self;  // keeps the call alive; reset when it ends
};

/// Calls in flight that are stopped when their owner is destroyed.
class Fetches {
  public:
    Fetches() = default;
    ~Fetches();  // NOLINT(bugprone-exception-escape): see the definition
    Fetches(const Fetches &) = delete;
    Fetches &operator=(const Fetches &) = delete;
    void add(const std::shared_ptr<Fetch> &call);

  private:
    std::vector<std::weak_ptr<Fetch>> calls;
};

}  // namespace deckcart::http
