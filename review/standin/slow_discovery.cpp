// Discovery is slow: the list of a watch takes some seconds to come, evenly. Does a drain that it
// lists bind in time?
#include "standin.hpp"

using namespace review;

namespace {

constexpr double kListTakesMs = 3500;   // from the watch's opening to the list's last byte
constexpr double kDrainAtMs = 4000;     // discovery has it
constexpr double kToldWithinMs = 6000;  // "6 s after discovery had it and could be reached"
constexpr double kGraceMs = 1000;       // Safety.DrainGraceS
constexpr double kSlackMs = 50;         // of the rules on sockets
constexpr double kEndMs = 18000;

std::mutex mutex;
std::vector<double> sentToDraining;
int completed = 0;
int others = 0;

void usualClient(int port, int number) {
    int fd = -1;
    while (nowMs() < kEndMs) {
        if (fd < 0)
            fd = connectTo(port, 1000);
        const std::string id = newId();
        const bool sent =
            fd >= 0 && sendAll(fd, command({"Q.ASK", newId(), id, "c=look,t=one,d=600"}));
        record().line("sent     id=%s", id.c_str());
        const auto answer = sent ? Reader(fd).reply(nowMs() + 1200) : std::nullopt;
        record().line("answered id=%s %s", id.c_str(), answer.value_or("nothing").c_str());
        if (!answer) {
            close(fd);
            fd = -1;
        }
        {
            const std::lock_guard lock(mutex);
            ++(answer && answer->starts_with("served") ? completed : others);
        }
        sleepMs(100 + number);
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
        instances[index].start();
        listed.push_back(&instances[index]);
    }
    Instance &draining = instances[0];
    draining.onCommand = [](const std::vector<std::string> &) {
        const std::lock_guard lock(mutex);
        sentToDraining.push_back(nowMs());
    };
    Discovery discovery;
    discovery.listTakesMs = troubleWanted() ? kListTakesMs : 0;
    discovery.start(listed);
    ControlService control;
    control.start();
    GatewayProcess gateway(arguments[1]);
    Deployment deployment;
    deployment.grades =
        R"({"Name":"look","Effect":"free","Group":"all","ObjectiveS":0.3,"DeadlineS":0.8,"Worth":1,"WindowS":5})";
    deployment.familyInfo = "{}";
    gateway.start(configText(gateway, deployment, discovery, control));
    for (int number = 0; number < 8; ++number)
        std::thread(usualClient, gateway.port, number).detach();
    sleepUntilMs(kDrainAtMs);
    const double drainAt = nowMs();
    discovery.change(draining, "Terminating");
    sleepUntilMs(kEndMs + 500);

    const std::lock_guard lock(mutex);
    const double binds = drainAt + kToldWithinMs + kGraceMs + kSlackMs;
    const auto late = std::count_if(sentToDraining.begin(), sentToDraining.end(),
                                    [&](double at) { return at > binds; });
    const auto before = std::count_if(sentToDraining.begin(), sentToDraining.end(),
                                      [&](double at) { return at < drainAt; });
    record().say("completed %d, others %d; to %s: %d before it drained, %d later than %.0f ms "
                 "after discovery had it",
                 completed, others, draining.id.c_str(), int(before), int(late), binds - drainAt);
    if (gateway.hasEnded() || completed < 100 || before < 5)
        gateway.finish(kCannotRun);
    gateway.finish(late > 0 ? kBroken : kHeld);
}
