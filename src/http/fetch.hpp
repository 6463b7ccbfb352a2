// One call to a server of ours: the control plane, an endpoint's health check, a gateway's API.
// Ends within a stated time, with the whole answer; or, as a watch, reports line by line and ends
// when the peer has been silent for that time.
#pragma once

#include "client.hpp"

namespace deckcart::http {

/// How a call has ended.
struct Fetched {
    bool inTime = true;
    bool startedSending = false;  ///< bytes of the call have left: it may have been carried out
    CallEnd outcome = CallEnd::complete;
    ResponseHead head;
    std::string body;  ///< not of a watch whose status is 200

    bool ok() const { return inTime && outcome == CallEnd::complete && head.status / 100 == 2; }
};

/// One thread, the loop's. Holds itself until it has ended.
class Fetch : public std::enable_shared_from_this<Fetch>, private CallHandler {
  public:
    using Done = std::function<void(const Fetched &)>;
    using Line = std::function<void(std::string_view)>;
    /// How a watch reports: line by line, or as the bytes come.
    enum class Cut { atLines, nowhere };

    /// Calls `done` exactly once, never from within start(), unless stopped before. The host field
    /// is written here.
    /// @param within  for the whole call; of a watch (`line` is set): for each silence
    static std::shared_ptr<Fetch> start(asio::io_context &context,
                                        const asio::ip::tcp::endpoint &to, RequestHead head,
                                        const std::string &body, Duration within, Done done,
                                        Line line = nullptr, Cut cut = Cut::atLines);
    /// No callback any more.
    void stop();

  private:
    explicit Fetch(asio::io_context &context);
    void onResponseHead(const ResponseHead &head) override;
    void onResponseBody(std::string_view part) override;
    void onCallEnd(CallEnd outcome) override;
    void startTimer();
    void takeLines();
    void fail();
    void finish();

    std::shared_ptr<ClientConnection> connection;
    asio::steady_timer timer;
    Duration within{};
    Fetched result;
    Done done;
    Line line;
    Cut cut = Cut::atLines;
    std::string partial;
    std::shared_ptr<Fetch> self;  // until it has ended
};

/// Calls in flight, stopped with their owner.
class Fetches {
  public:
    Fetches() = default;
    ~Fetches();  // NOLINT(bugprone-exception-escape): as at its definition
    Fetches(const Fetches &) = delete;
    Fetches &operator=(const Fetches &) = delete;
    void add(const std::shared_ptr<Fetch> &call);

  private:
    std::vector<std::weak_ptr<Fetch>> calls;
};

}  // namespace deckcart::http
