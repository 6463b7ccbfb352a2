// Stand-ins for the cases of this review: instances, discovery, the control service, clients, and a
// launcher for the gateway. Blocking sockets, one thread a connection, loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

constexpr int kBroken = 1;
constexpr int kHeld = 0;
constexpr int kCannotRun = 2;

using Clock = std::chrono::steady_clock;

inline Clock::time_point startedAt() {
    static const Clock::time_point start = Clock::now();
    return start;
}

/// Milliseconds since the start of the case.
inline double nowMs() {
    return std::chrono::duration<double, std::milli>(Clock::now() - startedAt()).count();
}

inline void sleepMs(double ms) {
    if (ms > 0)
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

inline void sleepUntilMs(double at) {
    sleepMs(at - nowMs());
}

inline std::int64_t unixMs() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// record.txt: a line for each thing sent, answered and run.
class Record {
  public:
    static Record &get() {
        static Record record;
        return record;
    }
    void open(const std::string &path) { file = std::fopen(path.c_str(), "w"); }
    __attribute__((format(printf, 2, 3))) void line(const char *format, ...) {
        const std::lock_guard lock(mutex);
        va_list arguments;
        va_start(arguments, format);
        write(file, format, arguments);
        va_end(arguments);
    }
    /// Also on standard output.
    __attribute__((format(printf, 2, 3))) void say(const char *format, ...) {
        const std::lock_guard lock(mutex);
        va_list arguments;
        va_start(arguments, format);
        va_list again;
        va_copy(again, arguments);
        write(file, format, arguments);
        write(stdout, format, again);
        va_end(again);
        va_end(arguments);
    }

  private:
    static void write(std::FILE *target, const char *format, va_list arguments) {
        if (!target)
            return;
        std::fprintf(target, "%10.1f ", nowMs());
        std::vfprintf(target, format, arguments);
        std::fputc('\n', target);
        std::fflush(target);
    }
    std::mutex mutex;
    std::FILE *file = nullptr;
};

inline Record &record() {
    return Record::get();
}

// ---- sockets ----

inline sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

/// Listens on a free loopback port.
inline int listenAnywhere(int &port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof(address);
    if (fd < 0 || bind(fd, reinterpret_cast<sockaddr *>(&address), size) != 0 ||
        listen(fd, 1024) != 0 ||
        getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size) != 0)
        std::exit(kCannotRun);
    port = ntohs(address.sin_port);
    return fd;
}

inline int freePort() {
    int port = 0;
    close(listenAnywhere(port));
    return port;
}

inline std::string hostPort(int port) {
    return "127.0.0.1:" + std::to_string(port);
}

inline void noDelay(int fd) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

/// A connection to the port, or -1 if it does not come up in time.
inline int connectTo(int port, int withinMs) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in address = loopback(port);
    if (connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0) {
        pollfd waiting{fd, POLLOUT, 0};
        int fault = 0;
        socklen_t size = sizeof(fault);
        if (errno != EINPROGRESS || poll(&waiting, 1, withinMs) != 1 ||
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &fault, &size) != 0 || fault != 0) {
            close(fd);
            return -1;
        }
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    noDelay(fd);
    return fd;
}

inline bool sendAll(int fd, const std::string &bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto part = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (part <= 0)
            return false;
        sent += static_cast<std::size_t>(part);
    }
    return true;
}

/// Buffered reading of one connection.
class Reader {
  public:
    explicit Reader(int connection) : fd(connection) {}

    /// A line without its end, or nothing if the connection ends or `untilMs` passes.
    std::optional<std::string> line(double untilMs = 1e12) {
        while (true) {
            const auto end = buffer.find('\n');
            if (end != std::string::npos) {
                std::string text = buffer.substr(0, end);
                buffer.erase(0, end + 1);
                if (text.ends_with('\r'))
                    text.pop_back();
                return text;
            }
            if (!fill(untilMs))
                return std::nullopt;
        }
    }
    std::optional<std::string> bytes(std::size_t count, double untilMs = 1e12) {
        while (buffer.size() < count)
            if (!fill(untilMs))
                return std::nullopt;
        std::string text = buffer.substr(0, count);
        buffer.erase(0, count);
        return text;
    }
    /// A command: an array of bulk strings.
    std::optional<std::vector<std::string>> command() {
        const auto head = line();
        if (!head || !head->starts_with('*'))
            return std::nullopt;
        std::vector<std::string> items;
        for (int left = std::atoi(head->c_str() + 1); left > 0; --left) {
            const auto length = line();
            if (!length || !length->starts_with('$'))
                return std::nullopt;
            auto item = bytes(static_cast<std::size_t>(std::atoi(length->c_str() + 1)) + 2);
            if (!item)
                return std::nullopt;
            item->resize(item->size() - 2);
            items.push_back(std::move(*item));
        }
        return items;
    }
    /// A reply to a client: "served VALUE", "refused", "failed" or nothing.
    std::optional<std::string> reply(double untilMs) {
        const auto head = line(untilMs);
        if (!head)
            return std::nullopt;
        if (head->starts_with("$") && *head != "$-1") {
            auto value = bytes(static_cast<std::size_t>(std::atoi(head->c_str() + 1)) + 2, untilMs);
            if (!value)
                return std::nullopt;
            value->resize(value->size() - 2);
            return "served " + *value;
        }
        if (head->starts_with("-BUSY"))
            return "refused " + *head;
        return (head->starts_with("+") ? "said " : "failed ") + *head;
    }
    /// Whether the peer has ended the connection by this time; what it sends before is dropped.
    bool endsBy(double untilMs) {
        while (fill(untilMs))
            buffer.clear();
        return ended;
    }

  private:
    bool fill(double untilMs) {
        const double left = untilMs - nowMs();
        pollfd waiting{fd, POLLIN, 0};
        if (left <= 0 || poll(&waiting, 1, int(std::min(left + 1, 3.6e6))) != 1)
            return false;
        char part[65536];
        const auto size = recv(fd, part, sizeof(part), 0);
        if (size <= 0) {
            ended = true;
            return false;
        }
        buffer.append(part, static_cast<std::size_t>(size));
        return true;
    }
    int fd;
    std::string buffer;
    bool ended = false;
};

/// Accepts for ever; each connection has a thread, which closes it at its end.
inline void serve(int listener, std::function<void(int)> connection) {
    std::thread([listener, connection = std::move(connection)] {
        while (true) {
            const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                return;
            noDelay(fd);
            std::thread([fd, connection] {
                connection(fd);
                close(fd);
            }).detach();
        }
    }).detach();
}

inline std::string bulk(const std::string &text) {
    return "$" + std::to_string(text.size()) + "\r\n" + text + "\r\n";
}

inline std::string command(const std::vector<std::string> &items) {
    std::string text = "*" + std::to_string(items.size()) + "\r\n";
    for (const auto &item : items)
        text += bulk(item);
    return text;
}

/// The value that an instance makes for a request.
inline std::string valueFor(const std::string &requestId) {
    return "done-" + requestId;
}

// ---- instances ----

/// A server of one build. It runs each command at once, takes `workMs` for it and answers.
struct Instance {
    std::string id;
    int build = 41;
    std::atomic<double> workMs = 20;
    std::int64_t startedAtMs = 0;
    std::string lifecycle = "Ready";  ///< as discovery lists it
    std::size_t valueBytes = 0;       ///< values are padded to this size
    int port = 0;
    std::function<void(const std::vector<std::string> &)> onCommand;

    void start() {
        serve(listenAnywhere(port), [this](int fd) { converse(fd); });
    }

  private:
    void converse(int fd) {
        Reader reader(fd);
        while (const auto items = reader.command()) {
            if (items->size() < 4) {
                if (!sendAll(fd, items->at(0) == "PING" ? "+PONG\r\n" : "-ERR unknown\r\n"))
                    return;
                continue;
            }
            record().line("run      %s id=%s key=%s %s", id.c_str(), items->at(2).c_str(),
                          items->at(1).c_str(), items->at(3).c_str());
            if (onCommand)
                onCommand(*items);
            sleepMs(workMs);
            std::string value = valueFor(items->at(2));
            value.resize(std::max(value.size(), valueBytes), '.');
            if (!sendAll(fd, "*3\r\n" + bulk(value) + "$-1\r\n$-1\r\n"))
                return;
        }
    }
};

// ---- discovery ----

/// The agent of discovery. `listTakesMs`: how long the first list of a watch takes to come.
class Discovery {
  public:
    std::atomic<double> listTakesMs = 0;
    int port = 0;

    void start(std::vector<Instance *> listed) {
        instances = std::move(listed);
        serve(listenAnywhere(port), [this](int fd) { watch(fd); });
    }
    void change(Instance &instance, const std::string &lifecycle) {
        const std::lock_guard lock(mutex);
        instance.lifecycle = lifecycle;
        changes.push_back(&instance);
        ++generation;
        record().line("list     generation %d: %s is %s", generation, instance.id.c_str(),
                      lifecycle.c_str());
    }
    /// The whole list in discovery's form.
    std::string wholeList() {
        const std::lock_guard lock(mutex);
        return list(true, instances);
    }

  private:
    static std::string entry(const Instance &instance) {
        return R"({"instanceId":")" + instance.id + R"(","hostPort":")" + hostPort(instance.port) +
               R"(","zone":"z1","machineType":"m1","cell":0,"lifecycle":")" + instance.lifecycle +
               R"(","weight":1.0,"startedAtMs":)" + std::to_string(instance.startedAtMs) +
               R"(,"release":)" + std::to_string(instance.build) + "}";
    }
    std::string list(bool whole, const std::vector<Instance *> &entries) const {
        std::string text = R"({"generation":)" + std::to_string(generation) + R"(,"reset":)" +
                           (whole ? "true" : "false") + R"(,"instances":[)";
        for (std::size_t index = 0; index < entries.size(); ++index)
            text += (index ? "," : "") + entry(*entries[index]);
        return text + "]}\n";
    }
    static bool sendChunk(int fd, const std::string &bytes) {
        char size[20];
        std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
        return sendAll(fd, size + bytes + "\r\n");
    }
    /// Sends the text evenly over the given time.
    static bool sendOver(int fd, const std::string &text, double takesMs) {
        const std::size_t parts = takesMs > 0 ? 80 : 1;
        const double begin = nowMs();
        for (std::size_t part = 0; part < parts; ++part) {
            const std::size_t from = text.size() * part / parts;
            const std::size_t until = text.size() * (part + 1) / parts;
            sleepUntilMs(begin + takesMs * double(part + 1) / double(parts));
            if (until > from && !sendChunk(fd, text.substr(from, until - from)))
                return false;
        }
        return true;
    }
    void watch(int fd) {
        const int number = ++watches;
        Reader reader(fd);
        const auto target = reader.line();
        while (const auto line = reader.line())
            if (line->empty())
                break;
        record().line("watch    %d opened: %s", number, target.value_or("").c_str());
        std::string text;
        std::size_t told = 0;
        {
            const std::lock_guard lock(mutex);
            text = list(true, instances);
            told = changes.size();
        }
        if (!sendAll(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n") ||
            !sendOver(fd, text, listTakesMs) || !follow(fd, number, told))
            record().line("watch    %d was ended by the gateway", number);
    }
    bool follow(int fd, int number, std::size_t told) {
        record().line("watch    %d has the whole list", number);
        double nextSign = nowMs() + 2000;
        while (true) {
            pollfd waiting{fd, POLLIN, 0};
            char byte = 0;
            if (poll(&waiting, 1, 10) == 1 && recv(fd, &byte, 1, 0) <= 0)
                return false;
            std::string text;
            {
                const std::lock_guard lock(mutex);
                if (changes.size() > told) {
                    text = list(false, {changes.begin() + std::ptrdiff_t(told), changes.end()});
                    told = changes.size();
                }
            }
            if (text.empty() && nowMs() >= nextSign) {
                text = "\n";
                nextSign = nowMs() + 2000;
            }
            if (!text.empty() && !sendChunk(fd, text))
                return false;
        }
    }
    std::mutex mutex;
    std::vector<Instance *> instances;
    std::vector<Instance *> changes;
    int generation = 1;
    std::atomic<int> watches = 0;
};

// ---- the control service ----

/// Tells one state of one build and counts no votes against it.
class ControlService {
  public:
    int port = 0;
    int build = 41;
    int ring = 0;
    std::string progress = "Healthy";
    double ceiling = 1;

    void start() {
        serve(listenAnywhere(port), [this](int fd) { converse(fd); });
    }
    std::string newsJson() const {
        return R"({"image":)" + std::to_string(build) + R"(,"ring":)" + std::to_string(ring) +
               R"(,"progress":")" + progress + R"(","ceiling":)" + std::to_string(ceiling) +
               R"(,"lag_ms":)" + std::to_string(int(nowMs())) + "}";
    }

  private:
    static bool sendChunk(int fd, const std::string &bytes) {
        char size[20];
        std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
        return sendAll(fd, size + bytes + "\r\n");
    }
    void converse(int fd) {
        Reader reader(fd);
        const auto head = reader.line();
        std::size_t length = 0;
        while (const auto line = reader.line()) {
            if (line->starts_with("Content-Length: "))
                length = static_cast<std::size_t>(std::atoi(line->c_str() + 16));
            if (line->empty())
                break;
        }
        if (!head)
            return;
        if (head->starts_with("GET"))
            return bulletin(fd);
        const auto form = reader.bytes(length);
        record().line("vote     %s", form.value_or("").c_str());
        const std::string body =
            "<?xml version=\"1.0\"?><Response><items><item><image>" + std::to_string(build) +
            "</image><ring>" + std::to_string(ring) + "</ring><progress>" + progress +
            "</progress><ceiling>" + std::to_string(ceiling) + "</ceiling><lag_ms>" +
            std::to_string(int(nowMs())) + "</lag_ms></item></items></Response>";
        sendAll(fd, "HTTP/1.1 200 OK\r\nContent-Type: text/xml\r\nConnection: close\r\n"
                    "Content-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    void bulletin(int fd) const {
        const std::string news = "event: news\ndata: image=" + std::to_string(build) +
                                 "&ring=" + std::to_string(ring) + "&progress=" + progress +
                                 "&ceiling=" + std::to_string(ceiling) +
                                 "&lag_ms=" + std::to_string(int(nowMs())) + "\n\n";
        if (!sendAll(fd, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n"))
            return;
        record().line("news     image=%d ring=%d %s ceiling=%.2f", build, ring, progress.c_str(),
                      ceiling);
        bool open = sendChunk(fd, news);
        while (open) {
            sleepMs(1000);
            open = sendChunk(fd, ":\n");
        }
    }
};

// ---- the gateway ----

/// The gateway, started by the deploy file's `run`.
class GatewayProcess {
  public:
    int port = freePort();

    explicit GatewayProcess(std::string runCommand) : run(std::move(runCommand)) {
        const char *parent = std::getenv("TMPDIR");
        folder = std::string(parent && *parent ? parent : "/tmp") + "/deckcart-review-XXXXXX";
        if (!mkdtemp(folder.data()))
            std::exit(kCannotRun);
    }
    /// Starts it and waits until it answers PING. Ends the case if it does not.
    void start(const std::string &config) {
        std::FILE *file = std::fopen((folder + "/config.json").c_str(), "w");
        std::fwrite(config.data(), 1, config.size(), file);
        std::fclose(file);
        process = fork();
        if (process == 0)
            execute();
        const double until = nowMs() + 10000;
        while (nowMs() < until) {
            const int fd = connectTo(port, 200);
            if (fd >= 0 && sendAll(fd, command({"PING"}))) {
                const auto answer = Reader(fd).reply(nowMs() + 1000);
                close(fd);
                if (answer == "said +PONG") {
                    record().line("gateway  ready, process %d", process);
                    return;
                }
            } else if (fd >= 0) {
                close(fd);
            }
            sleepMs(20);
        }
        record().say("the gateway is not ready");
        finish(kCannotRun);
    }
    pid_t pid() const { return process; }
    /// Whether the process has ended by itself.
    bool hasEnded() const { return waitpid(process, nullptr, WNOHANG) == process; }
    /// Ends the gateway and the case.
    [[noreturn]] void finish(int status) {
        if (process > 0) {
            kill(process, SIGKILL);
            waitpid(process, nullptr, 0);
        }
        const std::string log = folder + "/gateway.log";
        if (std::FILE *file = std::fopen(log.c_str(), "r")) {
            char line[512];
            while (std::fgets(line, sizeof(line), file)) {
                line[std::strcspn(line, "\n")] = 0;
                record().line("log      %s", line);
            }
            std::fclose(file);
        }
        for (const char *name : {"/config.json", "/gateway.log"})
            unlink((folder + name).c_str());
        rmdir(folder.c_str());
        record().say("exit %d: %s", status,
                     status == kBroken ? "the rule was broken"
                     : status == kHeld ? "the rule held"
                                       : "the case could not run");
        std::fflush(nullptr);
        _exit(status);
    }

  private:
    [[noreturn]] void execute() const {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log =
            open((folder + "/gateway.log").c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        setenv("EDGE_CONFIG", (folder + "/config.json").c_str(), 1);
        setenv("EDGE_NAME", "n1", 1);
        setenv("EDGE_LISTEN", hostPort(port).c_str(), 1);
        execl("/bin/sh", "sh", "-c", run.c_str(), nullptr);
        _exit(127);
    }
    std::string run;
    std::string folder;
    pid_t process = -1;
};

/// What differs from case to case in the configuration.
struct Deployment {
    int memoryMb = 64;
    int sockets = 256;
    std::string grades;      ///< the objects of the routes
    std::string familyInfo;  ///< the object of the rollouts
    bool keysStay = false;
};

inline std::string configText(const GatewayProcess &gateway, const Deployment &deployment,
                              Discovery &discovery, const ControlService &control) {
    return R"({"name":"n1","listen":")" + hostPort(gateway.port) + R"(","discovery":")" +
           hostPort(discovery.port) + R"(","seed":"51c07d3e9ab2f648",)" +
           R"("limits":{"cores":1.0,"memory_mb":)" + std::to_string(deployment.memoryMb) +
           R"(,"sockets":)" + std::to_string(deployment.sockets) + "}," +
           R"("platform":{"address":")" + hostPort(control.port) + R"(","news":)" +
           control.newsJson() + "}," + R"("known":)" + discovery.wholeList() + "," +
           R"("settings":{"GroupSize":3,"Me":0,"Locality":0,"FailureDomains":["z1"],)" +
           R"("Discovery":"automatic","Grades":[)" + deployment.grades + "]," +
           R"("Realms":[{"Name":"one","QuotaRps":500,"Share":1}],)" +
           R"("Limits":{"Cancel":true,"ConnectTimeoutS":0.25,"KeepaliveS":15,"MaxRetryAfterS":0.5,)" +
           R"("MayDuplicate":false,"MostHeld":20000,"MostTries":6,"Multiplex":32,"Probes":false,)" +
           R"("RetryAfter":true},"Report":{"Fields":[],"How":"none"},"Fees":{},)" +
           R"("Safety":{"AnswerSlackS":0.02,"AskWithinS":10,"ColdFrom":0.4,"DrainGraceS":1,)" +
           R"("OverloadForS":3,"TipMultiple":2.5,"WarmWithinS":4},"FamilyInfo":)" +
           deployment.familyInfo + "}}\n";
}

/// One request on a connection that is open; what it was answered, and when.
struct Asked {
    std::string id;
    double sentMs = 0;
    double answeredMs = 0;
    std::string answer;  ///< empty: none
};

inline std::string newId() {
    static std::atomic<std::uint64_t> last = 0x7f3a000000000000ULL + std::uint64_t(getpid());
    char text[20];
    std::snprintf(text, sizeof(text), "%016llx",
                  static_cast<unsigned long long>(last += 0x9e3779b97f4a7c15ULL));
    return text;
}

inline bool troubleWanted() {
    const char *wanted = std::getenv("TROUBLE");
    return !wanted || std::string(wanted) != "0";
}

}  // namespace review
