// Stand-ins for the cases of the second review: the platform (discovery and control service),
// instances and clients, each with blocking sockets on threads of their own, and a guard that
// starts the gateway as a process of its own by the deploy file's `run`. Loopback only. A case
// includes this header and calls runCase() from main().
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace lab {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

inline const Clock::time_point programStart = Clock::now();

/// Milliseconds since the start of the case.
inline double nowMs() {
    return std::chrono::duration<double, std::milli>(Clock::now() - programStart).count();
}
inline void sleepMs(double ms) {
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}
inline void sleepUntilMs(double at) {
    sleepMs(std::max(0.0, at - nowMs()));
}

/// What the case could not do: it ends with 2.
struct CannotRun : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// ---- the record ----

/// Writes record.txt, a line an event, with the time in milliseconds.
class Record {
  public:
    explicit Record(const std::string &file) : out(file) {}
    __attribute__((format(printf, 2, 3))) void line(const char *format, ...) {
        char text[1024];
        std::va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        char stamped[1100];
        std::snprintf(stamped, sizeof stamped, "%10.1f  %s\n", nowMs(), text);
        const std::lock_guard lock(mutex);
        out << stamped << std::flush;
    }

  private:
    std::mutex mutex;
    std::ofstream out;
};

// ---- sockets ----

inline sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(std::uint16_t(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

inline int portOf(int fd) {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

inline int listenOn(int port = 0) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = loopback(port);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 ||
        listen(fd, 1024) != 0)
        throw CannotRun("cannot listen");
    return fd;
}

/// A port that is free now.
inline int freePort() {
    const int fd = listenOn();
    const int port = portOf(fd);
    ::close(fd);
    return port;
}

inline std::string addressOf(int port) {
    return "127.0.0.1:" + std::to_string(port);
}

inline void noDelay(int fd) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

/// Writes everything; false if the peer has gone.
inline bool writeAll(int fd, std::string_view bytes) {
    while (!bytes.empty()) {
        const ssize_t size = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        bytes.remove_prefix(std::size_t(size));
    }
    return true;
}

/// -1 if the connection is refused.
inline int connectTo(int port, int receiveBuffer = 0) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBuffer > 0)
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    const sockaddr_in address = loopback(port);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(fd);
        return -1;
    }
    noDelay(fd);
    return fd;
}

// ---- RESP2 ----

inline std::string bulk(std::string_view text) {
    return "$" + std::to_string(text.size()) + "\r\n" + std::string(text) + "\r\n";
}
inline std::string command(const std::vector<std::string> &words) {
    std::string bytes = "*" + std::to_string(words.size()) + "\r\n";
    for (const std::string &word : words)
        bytes += bulk(word);
    return bytes;
}
/// A good answer of an instance: the value, null and no load report.
inline std::string goodAnswer(std::string_view value) {
    return "*3\r\n" + bulk(value) + "$-1\r\n$-1\r\n";
}

/// Reads one connection: lines, and RESP2 messages as lists of strings.
class Reader {
  public:
    enum class End { none, closed, reset, late };
    explicit Reader(int socketFd) : fd(socketFd) {}

    /// The next line without CR LF; nothing at the end or when the time is up.
    std::optional<std::string> line(double untilMs) {
        for (;;) {
            const auto at = buffer.find("\r\n", from);
            if (at != std::string::npos) {
                std::string text = buffer.substr(from, at - from);
                from = at + 2;
                compact();
                return text;
            }
            if (!fill(untilMs))
                return std::nullopt;
        }
    }
    std::optional<std::string> bytes(std::size_t count, double untilMs) {
        while (buffer.size() - from < count)
            if (!fill(untilMs))
                return std::nullopt;
        std::string text = buffer.substr(from, count);
        from += count;
        compact();
        return text;
    }
    /// A command: an array of bulk strings.
    std::optional<std::vector<std::string>> command(double untilMs) {
        const auto head = line(untilMs);
        if (!head || head->empty() || head->front() != '*')
            return std::nullopt;
        std::vector<std::string> words;
        for (int left = std::atoi(head->c_str() + 1); left > 0; --left) {
            const auto length = line(untilMs);
            if (!length || length->empty() || length->front() != '$')
                return std::nullopt;
            const auto size = std::size_t(std::atoi(length->c_str() + 1));
            const auto word = bytes(size + 2, untilMs);
            if (!word)
                return std::nullopt;
            words.push_back(word->substr(0, size));
        }
        return words;
    }
    /// A gateway's answer: its first line, followed by the value of a bulk string.
    std::optional<std::string> answer(double untilMs) {
        const auto head = line(untilMs);
        if (!head || head->empty() || head->front() != '$' || *head == "$-1")
            return head;
        const auto size = std::size_t(std::atoi(head->c_str() + 1));
        const auto value = bytes(size + 2, untilMs);
        if (!value)
            return std::nullopt;
        return "$" + value->substr(0, size);
    }
    End end() const { return ended; }
    const char *endName() const {
        switch (ended) {
        case End::none:
            return "open";
        case End::closed:
            return "closed";
        case End::reset:
            return "reset";
        case End::late:
            return "no answer, still open";
        }
        return "";
    }

  private:
    void compact() {
        if (from > 65536) {
            buffer.erase(0, from);
            from = 0;
        }
    }
    bool fill(double untilMs) {
        pollfd waiting{fd, POLLIN, 0};
        const double left = untilMs - nowMs();
        if (left <= 0 || poll(&waiting, 1, int(left) + 1) <= 0) {
            ended = End::late;
            return false;
        }
        char part[65536];
        const ssize_t size = recv(fd, part, sizeof part, 0);
        if (size <= 0) {
            ended = size == 0 ? End::closed : End::reset;
            return false;
        }
        buffer.append(part, std::size_t(size));
        return true;
    }

    int fd;
    std::string buffer;
    std::size_t from = 0;
    End ended = End::none;
};

constexpr double kForever = 1e12;

/// Accepts connections and serves each on a thread. The threads are left to the end of the process.
inline int serveOn(int listener, std::function<void(int fd)> serve) {
    std::thread([listener, serve = std::move(serve)] {
        for (;;) {
            const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                return;
            noDelay(fd);
            std::thread([fd, serve] {
                serve(fd);
                ::close(fd);
            }).detach();
        }
    }).detach();
    return portOf(listener);
}

// ---- instances ----

/// An instance. `serve` gets each command of a connection in order and returns the bytes of the
/// answer; it may sleep first. An empty answer ends the connection.
class Instance {
  public:
    using Serve = std::function<std::string(const std::vector<std::string> &words, int fd)>;
    explicit Instance(Serve serve) {
        port = serveOn(listenOn(), [serve = std::move(serve)](int fd) {
            Reader reader(fd);
            while (const auto words = reader.command(kForever)) {
                if ((*words)[0] == "PING") {
                    writeAll(fd, "+PONG\r\n");
                    continue;
                }
                const std::string answer = serve(*words, fd);
                if (answer.empty() || !writeAll(fd, answer))
                    return;
            }
        });
    }
    int port = 0;
};

// ---- the platform ----

inline json instanceEntry(const std::string &id, int port, int release = 1,
                          const char *lifecycle = "Ready", std::int64_t startedAtMs = 0) {
    return {{"instanceId", id},  {"hostPort", addressOf(port)},
            {"zone", "a"},       {"machineType", "m1"},
            {"cell", 0},         {"lifecycle", lifecycle},
            {"weight", 1.0},     {"startedAtMs", startedAtMs},
            {"release", release}};
}

/// The state of the newest build, as the platform tells it.
struct News {
    int image = 1;
    int ring = 0;
    std::string progress = "Healthy";
    double ceiling = 1;

    json document() const {
        return {{"image", image},
                {"ring", ring},
                {"progress", progress},
                {"ceiling", ceiling},
                {"lag_ms", 20}};
    }
};

/// Discovery and control service, on one port each.
class Platform {
  public:
    /// How the first object of a watch is written; the default writes it at once.
    using Deliver = std::function<bool(int fd, const std::string &object)>;

    Platform() {
        discoveryPort = serveOn(listenOn(), [this](int fd) { serveDiscovery(fd); });
        controlPort = serveOn(listenOn(), [this](int fd) { serveControl(fd); });
    }

    /// Adds or changes an instance and tells the open watches.
    void list(const json &entry) {
        const std::lock_guard lock(mutex);
        entries[entry.at("instanceId").get<std::string>()] = entry;
        ++generation;
        changes.push_back({generation, entry});
    }
    json wholeList() {
        const std::lock_guard lock(mutex);
        return wholeListLocked();
    }
    void tell(const News &changed) {
        const std::lock_guard lock(mutex);
        news = changed;
        ++newsVersion;
    }
    News currentNews() {
        const std::lock_guard lock(mutex);
        return news;
    }

    int discoveryPort = 0;
    int controlPort = 0;
    Deliver deliver;
    std::atomic<int> watches = 0;  ///< watches on the list that have been asked for

  private:
    struct Change {
        int generation;
        json entry;
    };
    json wholeListLocked() const {
        json instances = json::array();
        for (const auto &[id, entry] : entries)
            instances.push_back(entry);
        return {{"generation", generation}, {"reset", true}, {"instances", instances}};
    }
    static bool readHead(Reader &reader, std::string &firstLine, std::size_t &bodyBytes) {
        const auto first = reader.line(kForever);
        if (!first)
            return false;
        firstLine = *first;
        bodyBytes = 0;
        while (const auto line = reader.line(kForever)) {
            if (line->empty())
                return true;
            if (strncasecmp(line->c_str(), "content-length:", 15) == 0)
                bodyBytes = std::size_t(std::atoi(line->c_str() + 15));
        }
        return false;
    }
    static bool chunk(int fd, const std::string &bytes) {
        char size[32];
        std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
        return writeAll(fd, size + bytes + "\r\n");
    }
    static bool beginStream(int fd, const char *type) {
        return writeAll(fd, std::string("HTTP/1.1 200 OK\r\nContent-Type: ") + type +
                                "\r\nTransfer-Encoding: chunked\r\n\r\n");
    }
    static bool peerGone(int fd) {
        pollfd waiting{fd, POLLIN, 0};
        return poll(&waiting, 1, 0) > 0;
    }

    // A watch: what changed after the version asked for, or the whole list; then each change; an
    // empty line every 2 s while nothing changes.
    void serveDiscovery(int fd) {
        Reader reader(fd);
        std::string first;
        std::size_t bodyBytes = 0;
        if (!readHead(reader, first, bodyBytes))
            return;
        const auto at = first.find("index=");
        const bool watch = first.find("stream=1") != std::string::npos;
        int told = at == std::string::npos ? 0 : std::atoi(first.c_str() + at + 6);
        json document;
        {
            const std::lock_guard lock(mutex);
            document = wholeListLocked();
            if (watch && told > 0 && told <= generation)
                document = changesAfter(told);
            told = generation;
        }
        const std::string object = document.dump() + "\n";
        if (!watch) {
            writeAll(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                             std::to_string(object.size()) + "\r\n\r\n" + object);
            return;
        }
        ++watches;
        if (!beginStream(fd, "application/json"))
            return;
        if (deliver ? !deliver(fd, object) : !chunk(fd, object))
            return;
        double lastWriteMs = nowMs();
        while (!peerGone(fd)) {
            std::string next;
            {
                const std::lock_guard lock(mutex);
                if (generation > told)
                    next = changesAfter(told).dump() + "\n";
                told = generation;
            }
            if (next.empty() && nowMs() - lastWriteMs >= 2000)
                next = "\n";
            if (!next.empty()) {
                if (!chunk(fd, next))
                    return;
                lastWriteMs = nowMs();
            }
            sleepMs(2);
        }
    }
    json changesAfter(int told) const {
        json instances = json::array();
        for (const Change &change : changes)
            if (change.generation > told)
                instances.push_back(change.entry);
        return {{"generation", generation}, {"reset", false}, {"instances", instances}};
    }

    void serveControl(int fd) {
        Reader reader(fd);
        std::string first;
        std::size_t bodyBytes = 0;
        while (readHead(reader, first, bodyBytes)) {
            if (first.starts_with("GET"))
                return serveBulletin(fd);
            if (!reader.bytes(bodyBytes, kForever))
                return;
            const News state = currentNews();
            char body[512];
            std::snprintf(body, sizeof body,
                          "<?xml version=\"1.0\"?>\n<Response><items><item><image>%d</image>"
                          "<ring>%d</ring><progress>%s</progress><ceiling>%g</ceiling>"
                          "<lag_ms>20</lag_ms></item></items></Response>\n",
                          state.image, state.ring, state.progress.c_str(), state.ceiling);
            if (!writeAll(fd, "HTTP/1.1 200 OK\r\nContent-Type: text/xml\r\nContent-Length: " +
                                  std::to_string(std::strlen(body)) + "\r\n\r\n" + body))
                return;
        }
    }
    void serveBulletin(int fd) {
        if (!beginStream(fd, "text/event-stream"))
            return;
        int told = -1;
        double lastWriteMs = nowMs();
        while (!peerGone(fd)) {
            std::string next;
            {
                const std::lock_guard lock(mutex);
                if (newsVersion != told) {
                    char text[256];
                    std::snprintf(text, sizeof text,
                                  "event: news\ndata: image=%d&ring=%d&progress=%s&ceiling=%g"
                                  "&lag_ms=20\n\n",
                                  news.image, news.ring, news.progress.c_str(), news.ceiling);
                    next = text;
                }
                told = newsVersion;
            }
            if (next.empty() && nowMs() - lastWriteMs >= 1000)
                next = ":\n";
            if (!next.empty()) {
                if (!chunk(fd, next))
                    return;
                lastWriteMs = nowMs();
            }
            sleepMs(2);
        }
    }

    std::mutex mutex;
    std::map<std::string, json> entries;
    std::vector<Change> changes;
    int generation = 1;
    News news;
    int newsVersion = 0;

  public:
    /// For a `deliver` function.
    static bool writeChunk(int fd, const std::string &bytes) { return chunk(fd, bytes); }
};

// ---- the gateway ----

/// Settings of a small deployment. A case may change single fields.
inline json smallDeployment() {
    return json::parse(R"({
        "GroupSize": 3, "Me": 0, "Layer": 0, "Stages": ["relays"],
        "FailureDomains": ["a"], "Locality": 0, "Flavors": ["m1"], "WeightSource": "none",
        "Discovery": "automatic", "Family": "rollout", "CountedBy": "request", "TickS": 0.005,
        "Callers": {"MarksRetry": false}, "OverShareWorth": 0.1,
        "Realms": [{"Name": "acme", "QuotaRps": 200, "Share": 1.0}],
        "Grades": [
          {"Name": "lookup", "Effect": "free", "Group": "all", "WindowS": 5, "Stream": false,
           "ObjectiveS": 0.8, "DeadlineS": 2.5, "LateWorth": 0, "Worth": 1},
          {"Name": "order", "Effect": "guarded", "Group": "all", "WindowS": 5, "Stream": false,
           "ObjectiveS": 2, "DeadlineS": 8, "LateWorth": 0, "Worth": 3}],
        "Limits": {"Cancel": true, "ConnectTimeoutS": 0.25, "CpuUsPerRequest": 0,
          "CpuUsPerS": 80000, "KeepaliveS": 15, "MaxRetryAfterS": 0.5, "MayDuplicate": false,
          "MayTell": false, "MostHeld": 20000, "MostTries": 4, "Multiplex": 32, "Probes": false,
          "RetryAfter": true},
        "Report": {"Fields": [], "How": "none"},
        "Safety": {"AnswerSlackS": 0.02, "AskWithinS": 10, "ColdFrom": 0.35, "DrainGraceS": 0.5,
          "OverloadForS": 3, "TipMultiple": 2.5, "WarmWithinS": 4.5},
        "FamilyInfo": {"ApiRate": 200, "ApiTimeoutS": 0.8, "AutoAfterS": 0, "BallotTtlS": 6,
          "BlastPrice": 3, "ComplaintShare": 0, "DelayPrice": 0.45, "ExposureCaps": [0.15, 0.4, 1],
          "GateMode": "by_count", "GuardedStages": 0, "KeysStay": false, "LeastStageS": 1.5,
          "NewsPeriodS": 4, "Per": "all", "ReplaceMode": "replace", "Shares": [0.1, 0.35, 1],
          "SpanS": 4, "SpareTries": 3, "SumsEveryS": 0, "TallySample": 0, "ToAdvance": 2,
          "VotesToHold": 0, "VotesToRevert": 1, "WarmKeys": false}})");
}

/// The configuration of a gateway on this platform.
inline json gatewayConfiguration(Platform &platform, int listenPort, const json &settings,
                                 int memoryMb = 64, int sockets = 256) {
    return {{"name", "n1"},
            {"listen", addressOf(listenPort)},
            {"discovery", addressOf(platform.discoveryPort)},
            {"seed", "8d21c07e5b3f9a64"},
            {"limits", {{"cores", 1.0}, {"memory_mb", memoryMb}, {"sockets", sockets}}},
            {"platform",
             {{"address", addressOf(platform.controlPort)},
              {"news", platform.currentNews().document()}}},
            {"known", platform.wholeList()},
            {"settings", settings}};
}

/// One gateway process, started by the deploy file's `run` from the root of the repository.
class Gateway {
  public:
    Gateway(const std::string &root, const json &configuration, Record &caseRecord)
        : record(caseRecord) {
        const char *base = std::getenv("TMPDIR");
        std::string pattern = std::string(base && *base ? base : "/tmp") + "/deckcart-case-XXXXXX";
        if (!mkdtemp(pattern.data()))
            throw CannotRun("no temporary folder");
        folder = pattern;
        std::ofstream(folder + "/config.json") << configuration.dump();
        const std::string listen = configuration.at("listen");
        port = std::atoi(listen.c_str() + listen.find(':') + 1);
        const std::string run = runCommand(root);
        const std::string log = folder + "/log";
        pid = fork();
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            setenv("EDGE_CONFIG", (folder + "/config.json").c_str(), 1);
            setenv("EDGE_NAME", "n1", 1);
            setenv("EDGE_LISTEN", listen.c_str(), 1);
            setenv("EDGE_DISCOVERY", configuration.at("discovery").get<std::string>().c_str(), 1);
            setenv("TMPDIR", folder.c_str(), 1);
            if (chdir(root.c_str()) != 0 || !std::freopen(log.c_str(), "w", stdout) ||
                dup2(1, 2) < 0)
                _exit(127);
            execl("/bin/sh", "sh", "-c", run.c_str(), nullptr);
            _exit(127);
        }
        if (pid < 0)
            throw CannotRun("cannot start the gateway");
        record.line("gateway   starts: %s", run.c_str());
        startedAtMs = nowMs();
        awaitReady();
    }
    ~Gateway() {
        if (pid > 0) {
            kill(pid, SIGKILL);
            waitpid(pid, nullptr, 0);
        }
        std::error_code ignored;
        std::filesystem::remove_all(folder, ignored);
    }
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    void signal(int number) const {
        record.line("gateway   gets signal %d (%s)", number, strsignal(number));
        kill(pid, number);
    }
    /// Whether the process has ended by itself; its status is recorded once.
    bool ended() {
        if (pid <= 0)
            return true;
        if (waitpid(pid, &status, WNOHANG) != pid)
            return false;
        pid = 0;
        if (WIFSIGNALED(status))
            record.line("gateway   was ended by signal %d", WTERMSIG(status));
        else
            record.line("gateway   ended with status %d", WEXITSTATUS(status));
        return true;
    }
    /// Resident memory in KiB; 0 once the process has ended.
    long residentKb() const {
        std::ifstream in("/proc/" + std::to_string(pid) + "/status");
        for (std::string line; std::getline(in, line);)
            if (line.starts_with("VmRSS:"))
                return std::atol(line.c_str() + 6);
        return 0;
    }
    /// The last lines of its log, into the record.
    void copyLog(std::size_t lines = 15) const {
        std::ifstream in(folder + "/log");
        std::vector<std::string> all;
        for (std::string line; std::getline(in, line);)
            all.push_back(line);
        for (std::size_t i = all.size() > lines ? all.size() - lines : 0; i < all.size(); ++i)
            record.line("log       %s", all[i].c_str());
    }

    int port = 0;
    double startedAtMs = 0;

  private:
    static std::string runCommand(const std::string &root) {
        std::ifstream in(root + "/deploy/balancer.toml");
        for (std::string line; std::getline(in, line);) {
            if (!line.starts_with("run = \""))
                continue;
            return line.substr(7, line.rfind('"') - 7);
        }
        throw CannotRun("the deploy file has no run");
    }
    void awaitReady() {
        const double untilMs = nowMs() + 20000;
        while (nowMs() < untilMs) {
            if (ended())
                throw CannotRun("the gateway ended at its start");
            const int fd = connectTo(port);
            if (fd >= 0) {
                Reader reader(fd);
                writeAll(fd, command({"PING"}));
                const auto answer = reader.answer(nowMs() + 2000);
                ::close(fd);
                if (answer && *answer == "+PONG") {
                    record.line("gateway   answers PING");
                    return;
                }
            }
            sleepMs(20);
        }
        throw CannotRun("the gateway is not ready within 20 s");
    }

    Record &record;
    std::string folder;
    pid_t pid = 0;
    int status = 0;
};

// ---- requests ----

inline std::string ask(const std::string &key, const std::string &id, int waitMs,
                       const std::string &route = "lookup") {
    return command({"Q.ASK", key, id, "c=" + route + ",t=acme,d=" + std::to_string(waitMs)});
}
inline std::string order(const std::string &key, const std::string &id, int waitMs,
                         const std::string &body) {
    return command(
        {"Q.DO", key, id, "c=order,t=acme,d=" + std::to_string(waitMs) + ",k=k" + id, body});
}

/// An answer for the record, shortened.
inline std::string shown(const std::optional<std::string> &answer, const Reader &reader) {
    if (!answer)
        return std::string("(") + reader.endName() + ")";
    return answer->size() > 40 ? answer->substr(0, 40) + "..." : *answer;
}

// ---- a case ----

/// What a case gets: where the repository is, its record, and whether to make trouble.
struct Case {
    std::string root;
    Record &record;
    bool trouble = true;
};

/// Runs the case in `folder` (its second argument) and returns the exit status: 1 if `body` finds
/// the rule broken, 0 if it held, 2 if the case could not run.
inline int runCase(int argc, char **argv, const std::function<bool(Case &)> &body) {
    if (argc != 3) {
        std::cerr << "usage: " << argv[0] << " ROOT FOLDER\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    Record record(std::string(argv[2]) + "/record.txt");
    const char *trouble = std::getenv("TROUBLE");
    Case each{argv[1], record, !(trouble && std::string(trouble) == "0")};
    record.line("case      %s", each.trouble ? "with the disruption" : "without the disruption");
    int status = 2;
    try {
        status = body(each) ? 1 : 0;
    } catch (const std::exception &error) {
        record.line("case      could not run: %s", error.what());
    }
    record.line("case      %s", status == 1   ? "the rule was broken"
                                : status == 0 ? "the rule held"
                                              : "no result");
    std::cout << (status == 1 ? "broken" : status == 0 ? "held" : "could not run") << std::endl;
    // The stand-ins' threads are still waiting: nothing of them is unwound.
    std::fflush(nullptr);
    _exit(status);
}

}  // namespace lab
