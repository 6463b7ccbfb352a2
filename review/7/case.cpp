// A client sends five commands at once on one connection: a request that takes 400 ms, two of a
// class that doesn't exist, and two more requests. Each request has to get its final answer.
#include <lab.hpp>

namespace {

constexpr int kWaitMs = 2500;
constexpr double kLateMs = 500;  // an answer up to half a second late only earns nothing

bool body(lab::Case &it) {
    auto &platform = *new lab::Platform;
    for (int number = 1; number <= 3; ++number) {
        const std::string name = "s-" + std::to_string(number);
        auto *instance = new lab::Instance([&it, name](const auto &words, int) {
            it.record.line("%s       begins %s", name.c_str(), words[2].c_str());
            lab::sleepMs(400);
            it.record.line("%s       has run %s", name.c_str(), words[2].c_str());
            return lab::goodAnswer("value-of-" + words[2]);
        });
        platform.list(lab::instanceEntry(name, instance->port));
    }
    const int port = lab::freePort();
    lab::Gateway gateway(it.root, lab::gatewayConfiguration(platform, port, lab::smallDeployment()),
                         it.record);
    const int fd = lab::connectTo(port);
    if (fd < 0)
        throw lab::CannotRun("no connection");
    std::vector<std::string> ids{"a1"};
    std::string bytes = lab::ask("key-1", "a1", kWaitMs);
    if (it.trouble) {
        bytes += lab::ask("key-2", "x1", kWaitMs, "no-such-class");
        bytes += lab::ask("key-3", "x2", kWaitMs, "no-such-class");
        ids.insert(ids.end(), {"x1", "x2"});
    }
    bytes += lab::ask("key-4", "a2", kWaitMs) + lab::ask("key-5", "a3", kWaitMs);
    ids.insert(ids.end(), {"a2", "a3"});
    it.record.line("client    sends at once: %zu commands", ids.size());
    const double sentMs = lab::nowMs();
    lab::writeAll(fd, bytes);
    lab::Reader reader(fd);
    std::set<std::string> unanswered(ids.begin(), ids.end());
    // Waits far longer than any request may take, behind those before it.
    for (const std::string &id : ids) {
        const auto answer = reader.answer(sentMs + 5 * kWaitMs + kLateMs);
        it.record.line("client    answer to %s: %s", id.c_str(),
                       lab::shown(answer, reader).c_str());
        if (!answer)
            break;
        unanswered.erase(id);
    }
    const int other = lab::connectTo(port);
    lab::Reader otherReader(other);
    lab::writeAll(other, lab::ask("key-9", "b1", kWaitMs));
    const auto answer = otherReader.answer(lab::nowMs() + kWaitMs + kLateMs);
    it.record.line("client 2  answer to b1: %s", lab::shown(answer, otherReader).c_str());
    gateway.copyLog(6);
    // Only the requests that can be served are judged here.
    return unanswered.contains("a1") || unanswered.contains("a2") || unanswered.contains("a3");
}

}  // namespace

int main(int argc, char **argv) {
    return lab::runCase(argc, argv, body);
}
