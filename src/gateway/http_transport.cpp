#include "http_transport.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "../base/address.hpp"
#include "../base/number.hpp"
#include "../control_plane/http_control_plane_client.hpp"
#include "../http/fetch.hpp"
#include "pool.hpp"

namespace deckcart {
namespace {

constexpr const char *kEndHeader = "Deckcart-End", *kBuildHeader = "Deckcart-Build",
                     *kRetryHeader = "Deckcart-Retry-Ms";

std::vector<double> loadOf(const http::Head &head, const std::string &name) {
    std::vector<double> load;
    const std::string *text = head.find(name);
    const char *at = text ? text->data() : nullptr, *end = text ? at + text->size() : nullptr;
    while (at != end && load.size() < 4) {
        while (at != end && (*at == ' ' || *at == ','))
            ++at;
        double value = 0;
        const auto [next, fault] = std::from_chars(at, end, value);
        if (fault != std::errc{})
            break;
        load.push_back(value), at = next;
    }
    return load;
}

class HttpCall;

// ---- requests ----

class HttpRequest : public DownstreamRequest {
  public:
    HttpRequest(std::shared_ptr<http::Exchange> e, const GatewaySettings &with)
        : exchange(std::move(e)), settings(with) {
        exchange->onGone = [this] {
            if (const auto tell = onGone)
                tell();
        };
        exchange->onDrained = [this] {
            if (const auto tell = onDrained)
                tell();
        };
    }
    ~HttpRequest() override { exchange->onGone = nullptr, exchange->onDrained = nullptr; }

    bool open() const override { return exchange->open(); }
    void shed(const std::string &name, Duration retryAfter) override {
        const auto ms = std::max<std::int64_t>(retryAfter.count() / 1000, 0);
        refuse(503, "shed", name,
               {{"Retry-After", std::to_string((ms + 999) / 1000)},
                {kRetryHeader, std::to_string(ms)}});
    }
    void errored(const std::string &name, bool late) override {
        refuse(late ? 504 : 502, "errored", name, {});
    }
    void completed(UpstreamCall &from, std::string_view answer) override;
    void begin(UpstreamCall &from) override;
    void write(std::string_view part) override { exchange->write(part); }
    void end() override { exchange->end(); }
    void abort() override { exchange->abort(); }
    std::size_t waiting() const override { return exchange->waiting(); }
    void injectDuplicateResponse() override {
        exchange->writeBehind("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }

    const std::shared_ptr<http::Exchange> exchange;

  private:
    void refuse(int status, const char *end, const std::string &name,
                std::vector<http::Header> more) {
        http::ResponseHead answer;
        answer.status = status;
        answer.headers = {
            {kEndHeader, end}, {settings.headers.requestId, name}, {"Content-Type", "text/plain"}};
        answer.headers.insert(answer.headers.end(), more.begin(), more.end());
        exchange->answer(std::move(answer), std::string(end) + "\n");
    }
    const GatewaySettings &settings;
};

class HttpDownstream : public Downstream {
  public:
    HttpDownstream(asio::io_context &io, const asio::ip::tcp::endpoint &at,
                   const GatewaySettings &with, DownstreamHandler to)
        : settings(with), owner(std::move(to)),
          listener(io, at, with.listener,
                   [this](std::shared_ptr<http::Exchange> e) { arrived(std::move(e)); }) {}

    asio::ip::tcp::endpoint address() const override { return listener.address(); }
    void limit() override { listener.limit(settings.listener); }
    void drain(std::function<void()> ended) override { listener.drain(), ended(); }
    std::size_t connections() const override { return listener.connections(); }

  private:
    void arrived(std::shared_ptr<http::Exchange> exchange) {
        const auto &head = exchange->head;
        const std::string path = head.target.substr(0, head.target.find('?'));
        std::size_t rule = 0;
        while (rule < settings.routes.size() &&
               !((settings.routes[rule].method.empty() ||
                  settings.routes[rule].method == head.method) &&
                 path.starts_with(settings.routes[rule].pathPrefix)))
            ++rule;
        const auto refuse = [&](int status, const char *end, const char *words,
                                std::vector<http::Header> more) {
            http::ResponseHead answer;
            answer.status = status, answer.headers = std::move(more);
            answer.headers.insert(answer.headers.end(),
                                  {{kEndHeader, end}, {"Content-Type", "text/plain"}});
            exchange->answer(std::move(answer), words);
        };
        if (settings.routes.empty())
            return refuse(503, "shed", "no settings yet\n", {{"Retry-After", "1"}});
        if (rule == settings.routes.size()) {
            owner.unrouted();
            return refuse(404, "errored", "no route takes this\n", {});
        }
        const auto text = [&](const std::string &name) {
            const std::string *found = head.find(name);
            return found ? *found : std::string{};
        };
        RequestAttributes attributes;
        attributes.route = rule, attributes.key = text(settings.headers.key),
        attributes.name = text(settings.headers.requestId);
        attributes.tenant = tenantIndex(settings.tenants, text(settings.headers.tenant));
        attributes.wait = settings.routes[rule].routeTimeout;
        if (const auto left = wholeNumber(text(settings.headers.remaining)); left && *left >= 0)
            attributes.wait =
                std::min(attributes.wait, Duration{std::llround(std::min(*left, 1e9) * 1000)});
        auto request = std::make_shared<HttpRequest>(std::move(exchange), settings);
        request->attributes = std::move(attributes);
        owner.arrived(std::move(request));
    }

    const GatewaySettings &settings;
    DownstreamHandler owner;
    http::Listener listener;
};

// ---- calls ----

class HttpCall : public UpstreamCall, private http::CallHandler {
  public:
    HttpCall(Pool &of, const GatewaySettings &with, EndpointId to,
             std::shared_ptr<http::ClientConnection> over)
        : pool(of), settings(with), endpoint(std::move(to)), connection(std::move(over)) {}

    void start(const DownstreamRequest &request, const std::string &name, PreSendCheck preSendCheck,
               BuildNumber of, CallObserver *to) override {
        owner = to, build = of;
        const auto &exchange = *static_cast<const HttpRequest &>(request).exchange;
        const auto &in = exchange.head;
        http::RequestHead out;
        out.method = in.method, out.target = in.target;
        out.headers.reserve(in.headers.size() + 3);
        for (const auto &h : in.headers)
            if (http::travels(in, h.first) && !http::sameName(h.first, settings.headers.remaining))
                out.headers.push_back(h);
        if (!in.find(settings.headers.requestId))
            out.headers.push_back({settings.headers.requestId, name});
        // What is left of the client's wait, as it is now. None: it ends as its connection is made,
        // by its time.
        const Duration left = preSendCheck().value_or(Duration{0});
        out.headers.push_back({settings.headers.remaining, std::to_string(left.count() / 1000)});
        out.headers.push_back({"Via", "1.1 deckcart"});
        if (!exchange.body.empty() || in.length || in.chunked)
            out.length = exchange.body.size();
        connection->call(*parseAddress(endpoint), settings.upstream.connectWithin,
                         http::write(out) + exchange.body, in.method == "HEAD", this);
    }
    bool startedSending() const override { return connection->startedSending(); }
    void release(Duration now) override {
        if (!connection->reusable())
            connection->drop();
        pool.give(endpoint, connection, now);
    }
    void pause() override { connection->pause(); }
    void resume() override { connection->resume(); }

    // The head of an instance's answer as the client gets it.
    http::ResponseHead passedHead() const {
        http::ResponseHead out = head;
        std::erase_if(out.headers,
                      [&](const http::Header &h) { return !http::travels(head, h.first); });
        out.headers.push_back({kEndHeader, "completed"});
        out.headers.push_back({kBuildHeader, std::to_string(build)});
        return out;
    }
    std::optional<std::uint64_t> length() const { return head.length; }

  private:
    void onResponseHead(const http::ResponseHead &came) override { head = came; }
    void onResponseBody(std::string_view part) override {
        // An error's body goes nowhere: the request may still be done elsewhere.
        if (head.status < 500)
            owner->onResponse(part);
    }
    void onCallEnd(http::CallEnd outcome) override {
        if (outcome == http::CallEnd::complete) {
            const bool full = head.status == 503 && head.find(settings.headers.full);
            return owner->onCallEnd(head.status < 500 ? Outcome::ok
                                    : full            ? Outcome::overloaded
                                                      : Outcome::error);
        }
        // Whether it may have run is told by the bytes that were handed over. An idle connection
        // that closes as the request goes out has taken them: it may have run.
        const bool none = outcome == http::CallEnd::connectFailed || !connection->startedSending();
        owner->onCallEnd(none                                ? Outcome::connectFailed
                         : outcome == http::CallEnd::garbage ? Outcome::malformed
                                                             : Outcome::reset);
    }

    Pool &pool;
    const GatewaySettings &settings;
    EndpointId endpoint;
    BuildNumber build = 0;
    std::shared_ptr<http::ClientConnection> connection;
    CallObserver *owner = nullptr;
    http::ResponseHead head;
};

void HttpRequest::completed(UpstreamCall &from, std::string_view answer) {
    const auto &call = static_cast<HttpCall &>(from);
    http::ResponseHead head = call.passedHead();
    if (exchange->head.method != "HEAD" || !call.length())
        return exchange->answer(std::move(head), answer);
    head.length = call.length();
    exchange->begin(std::move(head));
    exchange->end();
}
void HttpRequest::begin(UpstreamCall &from) {
    http::ResponseHead head = static_cast<HttpCall &>(from).passedHead();
    head.chunked = !head.length;
    exchange->begin(std::move(head));
}

class HttpUpstreamPool : public UpstreamPool {
  public:
    HttpUpstreamPool(asio::io_context &io, const GatewaySettings &with)
        : context(io), settings(with), pool(io, with) {}
    std::shared_ptr<UpstreamCall> take(const EndpointId &endpoint) override {
        const auto connection = parseAddress(endpoint) ? pool.take(endpoint) : nullptr;
        return connection ? std::make_shared<HttpCall>(pool, settings, endpoint, connection)
                          : nullptr;
    }
    void closeIdle(const EndpointId &endpoint) override { pool.closeIdle(endpoint); }
    void sweep(Duration now) override { pool.sweep(now); }
    void probe(const EndpointId &endpoint, ProbeCallback done) override {
        const auto to = parseAddress(endpoint);
        if (!to)
            return done({});
        http::RequestHead head;
        head.method = "GET", head.target = settings.upstream.probePath;
        probes.add(http::Fetch::start(context, *to, head, {}, settings.upstream.probeWithin,
                                      [this, done](const http::Fetched &got) {
                                          done(loadOf(got.head, settings.headers.load));
                                      }));
    }

  private:
    asio::io_context &context;
    const GatewaySettings &settings;
    Pool pool;
    http::Fetches probes;
};

}  // namespace

std::unique_ptr<Downstream> HttpTransport::downstream(const GatewaySettings &settings,
                                                      DownstreamHandler owner) const {
    return std::make_unique<HttpDownstream>(context, listen, settings, std::move(owner));
}
std::unique_ptr<UpstreamPool> HttpTransport::upstreams(const GatewaySettings &settings) const {
    return std::make_unique<HttpUpstreamPool>(context, settings);
}
std::unique_ptr<ControlPlaneClient> HttpTransport::controlPlane(const GatewaySettings &settings,
                                                                ControlPlaneObserver owner) const {
    return std::make_unique<HttpControlPlaneClient>(context, settings, std::move(owner.now),
                                                    std::move(owner.tell));
}

}  // namespace deckcart
