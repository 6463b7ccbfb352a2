#include "fetch.hpp"

#include "../base/address.hpp"

namespace deckcart::http {

constexpr std::size_t kMostHead = 16 * 1024, kMostBody = 8 * 1024 * 1024,
                      kMostLine = 8 * 1024 * 1024;

Fetch::Fetch(asio::io_context &context)
    : connection(std::make_shared<ClientConnection>(context, kMostHead)), timer(context) {}

std::shared_ptr<Fetch> Fetch::start(asio::io_context &context, const asio::ip::tcp::endpoint &to,
                                    RequestHead head, const std::string &body, Duration within,
                                    Done done, Line line, Cut cut) {
    const std::shared_ptr<Fetch> call(new Fetch(context));
    call->self = call, call->within = within, call->done = std::move(done),
    call->line = std::move(line);
    call->cut = cut;
    if (!head.find("Host"))
        head.headers.insert(head.headers.begin(), {"Host", format(to)});
    if (!body.empty())
        head.length = body.size();
    head.keepAlive = false;
    call->arm();
    call->connection->call(to, within, write(head) + body, head.method == "HEAD", call.get());
    return call;
}

void Fetch::arm() {
    timer.expires_after(within);
    timer.async_wait([weak = weak_from_this()](asio::error_code fault) {
        const auto call = weak.lock();
        if (fault || !call || !call->self ||
            call->timer.expiry() > std::chrono::steady_clock::now())
            return;
        call->result.inTime = false;
        call->finish();
    });
}

void Fetch::onResponseHead(const ResponseHead &head) {
    result.head = head;
    if (line)
        arm();
}

void Fetch::onResponseBody(std::string_view part) {
    if (!line || result.head.status != 200) {
        if (result.body.size() + part.size() <= kMostBody)
            return void(result.body.append(part));
        result.outcome = CallEnd::garbage;
        return finish();
    }
    arm();
    const auto held = self;
    if (cut == Cut::nowhere)
        return line(part);
    partial.append(part);
    std::size_t from = 0;
    for (auto at = partial.find('\n'); at != std::string::npos && self;
         at = partial.find('\n', from)) {
        const auto whole = partial.substr(from, at - from);
        from = at + 1;
        line(whole);
    }
    partial.erase(0, from);
    if (partial.size() > kMostLine)
        result.outcome = CallEnd::garbage, finish();
}

void Fetch::onCallEnd(CallEnd outcome) {
    result.outcome = outcome;
    finish();
}

void Fetch::finish() {
    const auto held = std::exchange(self, nullptr);
    if (!held)
        return;
    timer.cancel();
    result.startedSending = connection->startedSending();
    connection->drop();
    const auto tell = std::exchange(done, nullptr);
    line = nullptr;
    if (tell)
        tell(result);
}

void Fetch::stop() {
    done = nullptr;
    // The watch's own line may stand below this call.
    if (const auto held = std::exchange(self, nullptr))
        timer.cancel(), connection->drop();
}

Fetches::~Fetches() {
    for (const auto &weak : calls)
        if (const auto call = weak.lock())
            call->stop();
}

void Fetches::add(const std::shared_ptr<Fetch> &call) {
    std::erase_if(calls, [](const auto &weak) { return weak.expired(); });
    calls.push_back(call);
}

}  // namespace deckcart::http
