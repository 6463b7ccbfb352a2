// Discovery and the control service of the platform: the list's watch, news and counts, votes.
// Turns documents into events; when to vote is the module's business. A stream that breaks is made
// anew from where it was; one that says nothing is kept until another one speaks.
#pragma once

#include <random>

#include "../base/log.hpp"
#include "../gateway/transport.hpp"
#include "../http/fetch.hpp"
#include "directory.hpp"
#include "limits.hpp"

namespace deckcart::platform {

// One stream that is to stand always: opened, opened anew with back-off, moved to another address.
class Stream {
  public:
    // Whether a whole word of the peer's has come, a sign of life among them. Throws where it can't
    // be read.
    using Reader = std::function<bool(std::string_view bytes)>;
    Stream(asio::io_context &context, StreamTimes times, http::Fetch::Cut cut, std::uint64_t seed,
           Log log, const char *name, std::function<std::string()> target,
           std::function<Reader()> reader);
    ~Stream();
    void open(
        const asio::ip::tcp::endpoint &at);  // the one that stands is kept until the new one speaks

  private:
    struct Leg;
    void start();
    void again();
    void watch();
    void said(const std::shared_ptr<Leg> &leg, std::string_view bytes);
    void drop(std::shared_ptr<Leg> &leg);

    asio::io_context &context;
    StreamTimes times;
    http::Fetch::Cut cut;
    std::mt19937 chance;
    Log log;
    const char *name;
    std::function<std::string()> target;
    std::function<Reader()> reader;
    asio::ip::tcp::endpoint address;
    std::shared_ptr<Leg> standing, coming;
    asio::steady_timer timer, watchdog;
    int failures = 0, mute = 0;  // in a row: ended, or gave no first word in time
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

class PlatformControlPlaneClient : public ControlPlaneClient {
  public:
    struct At {
        asio::ip::tcp::endpoint discovery, control;
    };
    PlatformControlPlaneClient(asio::io_context &context, Directory &directory,
                               const simulator::DeploymentSettings &settings, At at,
                               std::uint64_t seed, Log log, std::int64_t generation,
                               ControlPlaneObserver owner);

    void follow(bool active) override;
    void vote(const Vote &vote, Duration within) override;
    void move(const At &to);

  private:
    void took(const Members &told);

    asio::io_context &context;
    Directory &directory;
    const simulator::DeploymentSettings &settings;
    At at;
    Log log;
    ControlPlaneObserver owner;
    std::int64_t generation;
    Stream list, bulletin;
    http::Fetches calls;
};

// Unix time to the gateway's clock and back: read once, so that a fact does not move.
Duration onClock(std::int64_t unixMs);
EndpointListUpdate listTold(const Members &told);

}  // namespace deckcart::platform
