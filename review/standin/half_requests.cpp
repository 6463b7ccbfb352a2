// Bad clients stop in the middle of a request and stay. Are the requests of the usual clients
// answered?
#include "standin.hpp"

using namespace review;

namespace {

constexpr int kBadClients = 150;
constexpr double kTroubleFromMs = 3000;
constexpr double kTroubleUntilMs = 13000;
constexpr double kEndMs = 16000;
constexpr int kWaitMs = 600;          // what usual clients tell in `d`
constexpr double kLostAfterMs = 500;  // beyond the client's time
constexpr double kSlackMs = 50;       // of the rules on sockets

std::mutex mutex;
std::vector<Asked> asked;
std::atomic<int> notConnected = 0;
std::atomic<double> longestBadMs = 0;

void badClient(int port, int number) {
    sleepUntilMs(kTroubleFromMs + number * 0.5);
    while (nowMs() < kTroubleUntilMs) {
        const int fd = connectTo(port, 3000);
        if (fd < 0)
            continue;
        const double since = nowMs();
        record().line("bad      %d connects and stops in the middle", number);
        sendAll(fd, "*4\r\n$5\r\nQ.ASK\r\n$16\r\n7f3a9c");
        Reader(fd).endsBy(since + 10000);
        longestBadMs = std::max<double>(longestBadMs, nowMs() - since);
        close(fd);
    }
}

void usualRequest(int port) {
    const int fd = connectTo(port, 2000);
    if (fd < 0) {
        ++notConnected;
        return;
    }
    Asked request;
    request.id = newId();
    const std::string key = newId();
    const std::string bytes =
        command({"Q.ASK", key, request.id, "c=look,t=one,d=" + std::to_string(kWaitMs)});
    if (sendAll(fd, bytes)) {
        request.sentMs = nowMs();
        record().line("sent     id=%s d=%d", request.id.c_str(), kWaitMs);
        // Stays beyond its time, so that a late answer is seen as one.
        const auto answer = Reader(fd).reply(request.sentMs + kWaitMs + 2000);
        request.answeredMs = nowMs();
        request.answer = answer.value_or("");
        record().line("answered id=%s after %.0f ms: %s", request.id.c_str(),
                      request.answeredMs - request.sentMs,
                      answer ? answer->substr(0, 40).c_str() : "nothing");
        const std::lock_guard lock(mutex);
        asked.push_back(request);
    }
    close(fd);
}

}  // namespace

int main(int count, char **arguments) {
    if (count != 3)
        return kCannotRun;
    startedAt();
    record().open(arguments[2]);
    std::vector<Instance> instances(4);
    std::vector<Instance *> listed;
    for (std::size_t index = 0; index < instances.size(); ++index) {
        instances[index].id = "s-" + std::to_string(index + 1);
        instances[index].start();
        listed.push_back(&instances[index]);
    }
    Discovery discovery;
    discovery.start(listed);
    ControlService control;
    control.start();
    GatewayProcess gateway(arguments[1]);
    Deployment deployment;
    deployment.grades =
        R"({"Name":"look","Effect":"free","Group":"all","ObjectiveS":0.3,"DeadlineS":0.8,"Worth":1,"WindowS":5})";
    deployment.familyInfo = "{}";
    gateway.start(configText(gateway, deployment, discovery, control));

    if (troubleWanted())
        for (int number = 0; number < kBadClients; ++number)
            std::thread(badClient, gateway.port, number).detach();
    while (nowMs() < kEndMs) {
        std::thread(usualRequest, gateway.port).detach();
        sleepMs(100);
    }
    sleepMs(kWaitMs + 2200);
    const std::lock_guard lock(mutex);
    int late = 0;
    int never = 0;
    for (const Asked &request : asked) {
        never += request.answer.empty();
        late += !request.answer.empty() &&
                request.answeredMs > request.sentMs + kWaitMs + kLostAfterMs + kSlackMs;
    }
    record().say("requests %zu, no final answer %d, answered over %.0f ms after the client's time "
                 "%d, not connected %d, bad clients got a close after at most %.0f ms",
                 asked.size(), never, kLostAfterMs + kSlackMs, late, int(notConnected),
                 double(longestBadMs));
    if (gateway.hasEnded() || asked.size() < 50)
        gateway.finish(kCannotRun);
    gateway.finish(never + late > 0 ? kBroken : kHeld);
}
