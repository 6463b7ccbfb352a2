// Bad clients send hundreds of commands at once, and again. Does the gateway stay under the memory
// limit that its configuration states?
#include "standin.hpp"

using namespace review;

namespace {

constexpr int kMemoryMb = 32;
constexpr int kSockets = 256;
constexpr int kBadClients = 20;
constexpr int kCommandsAtOnce = 300;
constexpr int kUsualClients = 10;
constexpr double kTroubleFromMs = 5000;
constexpr double kEndMs = 20000;

std::mutex mutex;
std::map<std::string, double> inHand;  // of the usual clients: sent, not answered
std::atomic<int> completed = 0;
std::atomic<int> others = 0;
std::atomic<int> badServed = 0;
std::atomic<int> badOthers = 0;

/// Memory of the process that no file backs; less than what the platform counts.
double anonymousMb(pid_t process) {
    std::FILE *file = std::fopen(("/proc/" + std::to_string(process) + "/status").c_str(), "r");
    if (!file)
        return 0;
    char line[256];
    double kb = 0;
    while (std::fgets(line, sizeof(line), file))
        if (std::sscanf(line, "RssAnon: %lf", &kb) == 1)
            break;
    std::fclose(file);
    return kb / 1024;
}

void usualClient(int port) {
    int fd = -1;
    while (nowMs() < kEndMs) {
        if (fd < 0)
            fd = connectTo(port, 1000);
        const std::string id = newId();
        bool sent = false;
        if (fd >= 0) {
            const std::lock_guard lock(mutex);
            sent = sendAll(fd, command({"Q.ASK", newId(), id, "c=look,t=one,d=2000", "text"}));
            if (sent)
                inHand[id] = nowMs();
        }
        if (sent)
            record().line("sent     id=%s", id.c_str());
        const auto answer = sent ? Reader(fd).reply(nowMs() + 2600) : std::nullopt;
        if (answer) {
            const std::lock_guard lock(mutex);
            inHand.erase(id);
        } else {
            close(fd);
            fd = -1;
        }
        record().line("answered id=%s %s", id.c_str(), answer.value_or("nothing").c_str());
        ++(answer && answer->starts_with("served") ? completed : others);
        sleepMs(100);
    }
}

void badClient(int port, int number) {
    sleepUntilMs(kTroubleFromMs);
    while (nowMs() < kEndMs) {
        const int fd = connectTo(port, 1000);
        if (fd < 0) {
            sleepMs(10);
            continue;
        }
        record().line("bad      %d sends %d commands at once", number, kCommandsAtOnce);
        std::thread sender([fd] {
            for (int left = kCommandsAtOnce; left > 0; --left)
                if (!sendAll(fd,
                             command({"Q.ASK", newId(), newId(), "c=look,t=one,d=2000", "text"})))
                    return;
        });
        Reader reader(fd);
        for (int left = kCommandsAtOnce; left > 0; --left) {
            const auto answer = reader.reply(nowMs() + 5000);
            if (!answer)
                break;
            ++(answer->starts_with("served") ? badServed : badOthers);
        }
        shutdown(fd, SHUT_RDWR);
        sender.join();
        close(fd);
    }
}

}  // namespace

int main(int count, char **arguments) {
    if (count != 3)
        return kCannotRun;
    startedAt();
    record().open(arguments[2]);
    std::vector<Instance> instances(14);
    std::vector<Instance *> listed;
    for (std::size_t index = 0; index < instances.size(); ++index) {
        instances[index].id = "s-" + std::to_string(index + 1);
        instances[index].workMs = 100;
        instances[index].start();
        listed.push_back(&instances[index]);
    }
    Discovery discovery;
    discovery.start(listed);
    ControlService control;
    control.start();
    GatewayProcess gateway(arguments[1]);
    Deployment deployment;
    deployment.memoryMb = kMemoryMb;
    deployment.sockets = kSockets;
    deployment.grades =
        R"({"Name":"look","Effect":"free","Group":"all","ObjectiveS":0.8,"DeadlineS":2.5,"Worth":1,"WindowS":5},{"Name":"send","Effect":"guarded","Group":"all","ObjectiveS":2,"DeadlineS":8,"Worth":3,"WindowS":5})";
    deployment.familyInfo = "{}";
    gateway.start(configText(gateway, deployment, discovery, control));
    for (int number = 0; number < kUsualClients; ++number)
        std::thread(usualClient, gateway.port).detach();
    if (troubleWanted())
        for (int number = 0; number < kBadClients; ++number)
            std::thread(badClient, gateway.port, number).detach();

    double peak = 0;
    double nextLine = 0;
    while (nowMs() < kEndMs) {
        const double used = anonymousMb(gateway.pid());
        peak = std::max(peak, used);
        if (nowMs() >= nextLine || used > kMemoryMb) {
            record().line("memory   %.1f MB of %d MB", used, kMemoryMb);
            nextLine = nowMs() + 500;
        }
        if (used > kMemoryMb) {
            const std::lock_guard lock(mutex);
            kill(gateway.pid(), SIGKILL);
            record().say("the platform kills the gateway, which uses %.1f MB of %d MB; %zu reqs of "
                         "usual clients are in its hands; bad clients: %d served, %d others",
                         used, kMemoryMb, inHand.size(), int(badServed), int(badOthers));
            gateway.finish(kBroken);
        }
        if (gateway.hasEnded()) {
            record().say("the gateway has ended by itself");
            gateway.finish(kBroken);
        }
        sleepMs(10);
    }
    record().say("peak %.1f MB of %d MB; usual clients: %d completed, %d others", peak, kMemoryMb,
                 int(completed), int(others));
    gateway.finish(completed < 100 ? kCannotRun : kHeld);
}
