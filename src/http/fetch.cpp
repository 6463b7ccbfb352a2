#include "fetch.hpp"

#include "../base/address.hpp"

namespace deckcart::http {

namespace {

// Limits the memory that a server whose response never ends can take up.
constexpr std::size_t kMaxHeadBytes = 16 * 1024;
constexpr std::size_t kMaxBodyBytes = 8 * 1024 * 1024;
constexpr std::size_t kMaxLineBytes = 8 * 1024 * 1024;

}  // namespace

Fetch::Fetch(asio::io_context &context)
    : connection(std::make_shared<ClientConnection>(context, kMaxHeadBytes)), timer(context) {}

std::shared_ptr<Fetch> Fetch::start(asio::io_context &context, const asio::ip::tcp::endpoint &to,
                                    RequestHead head, const std::string &body, Duration timeout,
                                    DoneCallback onDone, DataCallback onData, Cut cut) {
    std::shared_ptr<Fetch> call(new Fetch(context));
    call->self = call;
    call->timeout = timeout;
    call->onDone = std::move(onDone);
    call->onData = std::move(onData);
    call->cut = cut;
    if (!head.find("Host"))
        head.headers.insert(head.headers.begin(), {"Host", format(to)});
    if (!body.empty())
        head.length = body.size();
    head.keepAlive = false;
    call->startTimer();
    call->connection->call(to, timeout, write(head) + body, head.method == "HEAD", call.get());
    return call;
}

void Fetch::startTimer() {
    timer.expires_after(timeout);
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
    if (onData)
        startTimer();
}

void Fetch::onResponseBody(std::string_view part) {
    if (!onData || result.head.status != 200) {
        if (result.body.size() + part.size() > kMaxBodyBytes)
            return fail();
        result.body.append(part);
        return;
    }
    startTimer();
    const auto strongSelf = self;
    if (cut == Cut::nowhere)
        return onData(part);
    partialLine.append(part);
    reportLines();
    if (partialLine.size() > kMaxLineBytes)
        fail();
}

// The callback may stop this call, which resets `self`.
void Fetch::reportLines() {
    std::size_t from = 0;
    for (auto end = partialLine.find('\n'); end != std::string::npos && self;
         end = partialLine.find('\n', from)) {
        const auto text = partialLine.substr(from, end - from);
        from = end + 1;
        onData(text);
    }
    partialLine.erase(0, from);
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
    const auto strongSelf = std::exchange(self, nullptr);
    if (!strongSelf)
        return;
    timer.cancel();
    result.startedSending = connection->startedSending();
    connection->drop();
    const auto notify = std::exchange(onDone, nullptr);
    onData = nullptr;
    if (notify)
        notify(result);
}

void Fetch::stop() {
    onDone = nullptr;
    // May be called from the callback of the watch: the call must outlive this function.
    if (const auto strongSelf = std::exchange(self, nullptr)) {
        timer.cancel();
        connection->drop();
    }
}

// NOLINTNEXTLINE(bugprone-exception-escape): running out of memory ends the program anyway
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
