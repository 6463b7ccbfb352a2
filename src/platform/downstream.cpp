#include "downstream.hpp"

namespace deckcart::platform {

class RespRequest : public DownstreamRequest {
  public:
    using Names = std::shared_ptr<OpenNames>;
    RespRequest(const Clock &time, std::shared_ptr<resp::Exchange> e, CommandRead read, Names open)
        : command(std::move(read.command)), clock(time), exchange(std::move(e)),
          names(std::move(open)) {
        attributes = std::move(read.attributes);
        exchange->onGone = [this] {
            free();
            if (const auto tell = onGone)
                tell();
        };
    }
    ~RespRequest() override {
        exchange->onGone = nullptr;
        free();
    }

    bool open() const override { return exchange->open(); }
    bool isClientConnected() const override { return open() && exchange->peerThere(); }
    void shed(const std::string &, Duration retryAfter) override {
        const auto ms = retryAfter.count() / 1000;
        say(ms > 0 ? resp::error("BUSY " + std::to_string(ms)) : resp::error("BUSY"));
    }
    void errored(const std::string &, bool) override { say(resp::error("ERR failed")); }
    void completed(UpstreamCall &, std::string_view answer) override { say(resp::bulk(answer)); }
    // Values are bounded and passed on whole: these are for answers of other ways.
    void begin(UpstreamCall &) override {}
    void write(std::string_view) override {}
    void end() override {}
    void abort() override { exchange->abort(); }
    std::size_t waiting() const override { return 0; }

    const Command command;

  private:
    void say(std::string bytes) {
        free();
        exchange->answer(std::move(bytes));
    }
    void free() {
        if (!std::exchange(freed, true))
            names->ended(attributes.name, clock.now());
    }
    const Clock &clock;
    std::shared_ptr<resp::Exchange> exchange;
    Names names;
    bool freed = false;
};

const Command &commandOf(const DownstreamRequest &request) {
    return static_cast<const RespRequest &>(request).command;
}

RespDownstream::RespDownstream(asio::io_context &io, const Clock &time,
                               const asio::ip::tcp::endpoint &at,
                               const resp::ListenerLimits &limits,
                               const simulator::DeploymentSettings &with, DownstreamHandler to)
    : clock(time), settings(with), owner(std::move(to)),
      names(std::make_shared<OpenNames>(with.longestTimeout())),
      listener(io, at, limits, [this](const std::shared_ptr<resp::Exchange> &e) { arrived(e); }) {}

void RespDownstream::arrived(const std::shared_ptr<resp::Exchange> &exchange) {
    auto &args = exchange->args;
    if (!isRequestCommand(args)) {
        if (args[0] == "PING" && args.size() == 1)
            return exchange->answer("+PONG\r\n");
        if (args[0] == "CLIENT" || args[0] == "SELECT")
            return exchange->answer("+OK\r\n");
        return exchange->refuse("ERR unknown command");
    }
    CommandRead read = readCommand(std::move(args), settings);
    if (read.refusal.empty() && !names->open(read.attributes.name, clock.now()))
        read.refusal = "ERR the id is of another request";
    if (!read.refusal.empty()) {
        owner.unrouted();
        return exchange->refuse(read.refusal);
    }
    owner.arrived(std::make_shared<RespRequest>(clock, exchange, std::move(read), names));
}

}  // namespace deckcart::platform
