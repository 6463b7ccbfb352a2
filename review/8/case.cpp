// Some clients come on a new connection, ask once and keep the connection for good: 65 a second,
// for 20 s, beside 24 clients that use theirs again and again. What the former leave open in 2 s
// fits into the descriptors. Each request has to get its final answer, at most half a second late.
#include <lab.hpp>

#include <random>

namespace {

constexpr int kMemoryMb = 64;
constexpr int kSockets = 256;
constexpr int kUsualClients = 12;
constexpr int kWaitMs = 500;
constexpr double kLateMs = 500 + 50;  // half a second, and what each time limit grows by
constexpr double kForMs = 30000;
constexpr double kEveryMs = 1000.0 / 64;
constexpr double kRouteTimeoutS = 0.6;
constexpr double kServiceMs = 20;

struct Ask {
    double sentMs = 0;
    double tookMs = 0;
    bool lost = false;
    std::string answer;
};

std::atomic<int> openRequests = 0, mostOpenRequests = 0;

// Sends a request; false if there is no final answer half a second after its time.
bool ask(int fd, const std::string &id, Ask &result) {
    lab::Reader reader(fd);
    mostOpenRequests = std::max<int>(mostOpenRequests, ++openRequests);
    result.sentMs = lab::nowMs();
    lab::writeAll(fd, lab::ask("key-" + id, id, kWaitMs));
    const auto answer = reader.answer(result.sentMs + kWaitMs + kLateMs);
    result.tookMs = lab::nowMs() - result.sentMs;
    result.answer = lab::shown(answer, reader);
    result.lost = !answer;
    --openRequests;
    return !result.lost;
}

bool body(lab::Case &it) {
    auto &platform = *new lab::Platform;
    for (int number = 1; number <= 8; ++number) {
        auto *instance = new lab::Instance([](const auto &words, int) {
            lab::sleepMs(kServiceMs);
            return lab::goodAnswer("v-" + words[2]);
        });
        platform.list(lab::instanceEntry("s-" + std::to_string(number), instance->port));
    }
    auto settings = lab::smallDeployment();
    settings["Grades"][0]["ObjectiveS"] = 0.3;
    settings["Grades"][0]["DeadlineS"] = kRouteTimeoutS;
    const int port = lab::freePort();
    lab::Gateway gateway(it.root,
                         lab::gatewayConfiguration(platform, port, settings, kMemoryMb, kSockets),
                         it.record);
    std::atomic<bool> stop = false;
    std::vector<std::vector<Ask>> usual(kUsualClients);
    std::vector<std::thread> threads;
    for (int client = 0; client < kUsualClients; ++client)
        threads.emplace_back([&, client] {
            std::minstd_rand random(unsigned(client + 1));
            const int fd = lab::connectTo(port);
            auto &asks = usual[std::size_t(client)];
            while (!stop) {
                const std::string id =
                    "u" + std::to_string(client) + "-" + std::to_string(asks.size());
                ask(fd, id, asks.emplace_back());
                lab::sleepMs(50 + random() % 100);
            }
        });
    const auto count = std::size_t(kForMs / kEveryMs);
    std::vector<Ask> asks(count);
    std::vector<std::thread> once;
    const double beginMs = lab::nowMs();
    if (it.trouble) {
        for (std::size_t index = 0; index < count; ++index) {
            lab::sleepUntilMs(beginMs + double(index) * kEveryMs);
            // Who is answered keeps the connection to the end of the case.
            once.emplace_back([&, index] {
                const int fd = lab::connectTo(port);
                if (!ask(fd, "a" + std::to_string(index), asks[index]))
                    ::close(fd);
            });
        }
    } else {
        // The same requests at the same rate, on 20 connections that are used again.
        constexpr std::size_t kConnections = 20;
        for (std::size_t first = 0; first < kConnections; ++first)
            once.emplace_back([&, first] {
                const int fd = lab::connectTo(port);
                for (std::size_t index = first; index < count; index += kConnections) {
                    lab::sleepUntilMs(beginMs + double(index) * kEveryMs);
                    ask(fd, "a" + std::to_string(index), asks[index]);
                }
            });
    }
    for (std::thread &client : once)
        client.join();
    stop = true;
    for (std::thread &client : threads)
        client.join();
    std::size_t usualCount = 0, usualLost = 0, lost = 0;
    for (const auto &each : usual)
        for (const Ask &result : each) {
            ++usualCount;
            usualLost += result.lost;
        }
    double worst = 0;
    for (std::size_t index = 0; index < count; ++index) {
        const Ask &result = asks[index];
        lost += result.lost;
        worst = std::max(worst, result.tookMs);
        if (index % 20 == 0)
            it.record.line("client %-4zu sent at %.0f, waits %d ms: %s after %.0f ms%s", index,
                           result.sentMs, kWaitMs, result.answer.c_str(), result.tookMs,
                           result.lost ? ", lost" : "");
    }
    it.record.line(
        "clients that ask once: %zu requests, %zu lost, the slowest answer after %.0f ms", count,
        lost, worst);
    it.record.line("at most %d requests were open at a time, of %d descriptors",
                   mostOpenRequests.load(), kSockets);
    it.record.line("other clients: %zu requests, %zu lost", usualCount, usualLost);
    gateway.copyLog(3);
    return lost + usualLost > 0;
}

}  // namespace

int main(int argc, char **argv) {
    return lab::runCase(argc, argv, body);
}
