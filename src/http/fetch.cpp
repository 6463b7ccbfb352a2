#include "fetch.hpp"

#include "../base/address.hpp"

namespace deckcart::http {

namespace {

// Guard against a server that never ends its answer. Harm: memory without bound.
constexpr std::size_t kMaxHeadBytes = 16 * 1024;
constexpr std::size_t kMaxBodyBytes = 8 * 1024 * 1024;
constexpr std::size_t kMaxLineBytes = 8 * 1024 * 1024;

}  // namespace

Fetch::Fetch(asio::io_context &context)
    : connection(std::make_shared<ClientConnection>(context, kMaxHeadBytes)), timer(context) {}

std::shared_ptr<Fetch> Fetch::start(asio::io_context &context, const asio::ip::tcp::endpoint &to,
                                    RequestHead head, const std::string &body, Duration within,
                                    Done done, Line line, Cut cut) {
    std::shared_ptr<Fetch> call(new Fetch(context));
    call->self = call;
    call->within = within;
    call->done = std::move(done);
    call->line = std::move(line);
    call->cut = cut;
    if (!head.find("Host"))
        head.headers.insert(head.headers.begin(), {"Host", format(to)});
    if (!body.empty())
        head.length = body.size();
    head.keepAlive = false;
    call->startTimer();
    call->connection->call(to, within, write(head) + body, head.method == "HEAD", call.get());
    return call;
}

void Fetch::startTimer() {
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
        startTimer();
}

void Fetch::onResponseBody(std::string_view part) {
    if (!line || result.head.status != 200) {
        if (result.body.size() + part.size() > kMaxBodyBytes)
            return fail();
        result.body.append(part);
        return;
    }
    startTimer();
    const auto held = self;
    if (cut == Cut::nowhere)
        return line(part);
    partial.append(part);
    takeLines();
    if (partial.size() > kMaxLineBytes)
        fail();
}

// The line's handler may stop this call.
void Fetch::takeLines() {
    std::size_t from = 0;
    for (auto end = partial.find('\n'); end != std::string::npos && self;
         end = partial.find('\n', from)) {
        const auto whole = partial.substr(from, end - from);
        from = end + 1;
        line(whole);
    }
    partial.erase(0, from);
}

void Fetch::fail() {
    result.outcome = CallEnd::malformed;
    finish();
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
    const auto notify = std::exchange(done, nullptr);
    line = nullptr;
    if (notify)
        notify(result);
}

void Fetch::stop() {
    done = nullptr;
    // The watch's own line may stand below this call.
    if (const auto held = std::exchange(self, nullptr)) {
        timer.cancel();
        connection->drop();
    }
}

// NOLINTNEXTLINE(bugprone-exception-escape): lack of memory ends the program wherever it shows
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
