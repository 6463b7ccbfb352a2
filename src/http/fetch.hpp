// One call to a server of ours: the control plane, an instance's probe, a gateway's API. Ends
// within a stated time, with the whole answer; or, as a watch, tells line by line and ends when the
// peer has been silent for that time.
#pragma once

#include "client.hpp"

namespace deckcart::http {

struct Fetched {
    bool inTime = true;
    bool startedSending = false;  // bytes of the call have left: it may have been carried out
    CallEnd outcome = CallEnd::complete;
    ResponseHead head;
    std::string body;  // not of a watch whose status is 200

    bool ok() const { return inTime && outcome == CallEnd::complete && head.status / 100 == 2; }
};

class Fetch : public std::enable_shared_from_this<Fetch>, private CallHandler {
  public:
    using Done = std::function<void(const Fetched &)>;
    using Line = std::function<void(std::string_view)>;
    enum class Cut { atLines, nowhere };  // how a watch is told: line by line, or as the bytes come

    // Calls back exactly once, never from within start(), unless stopped before. The host field is
    // written here.
    static std::shared_ptr<Fetch> start(asio::io_context &context,
                                        const asio::ip::tcp::endpoint &to, RequestHead head,
                                        const std::string &body, Duration within, Done done,
                                        Line line = nullptr, Cut cut = Cut::atLines);
    void stop();  // no call back any more

  private:
    explicit Fetch(asio::io_context &context);
    void onResponseHead(const ResponseHead &head) override;
    void onResponseBody(std::string_view part) override;
    void onCallEnd(CallEnd outcome) override;
    void arm();
    void finish();

    std::shared_ptr<ClientConnection> connection;
    asio::steady_timer timer;
    Duration within{};
    Fetched result;
    Done done;
    Line line;
    Cut cut = Cut::atLines;
    std::string partial;
    std::shared_ptr<Fetch> self;  // until the end
};

// Calls under way, stopped with their owner.
class Fetches {
  public:
    Fetches() = default;
    ~Fetches();
    Fetches(const Fetches &) = delete;
    Fetches &operator=(const Fetches &) = delete;
    void add(const std::shared_ptr<Fetch> &call);

  private:
    std::vector<std::weak_ptr<Fetch>> calls;
};

}  // namespace deckcart::http
