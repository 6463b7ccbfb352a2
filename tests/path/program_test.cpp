// The platform's gateway as a separate process: startup, signals, shutdown. As in
// crossings_test.cpp, each test forces a race condition between two events;
// docs/design-crossings.md names these tests, too.
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "platform_fixture.hpp"

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#define DECKCART_SANITIZED
#endif

namespace deckcart::test {
namespace {

class Program : public Platform {
  protected:
    void TearDown() override {
        if (pid > 0) {
            kill(pid, SIGKILL);
            waitpid(pid, nullptr, 0);
        }
        std::filesystem::remove_all(directory);
        Platform::TearDown();
    }
    void launch(const std::string &listen = "127.0.0.1:0", std::size_t sockets = 256) {
        char pathTemplate[] = "/tmp/deckcart-XXXXXX";
        directory = mkdtemp(pathTemplate);
        json configurationDocument = document(sockets);
        configurationDocument["listen"] = listen;
        std::ofstream(directory + "/config.json") << configurationDocument.dump();
        const std::string log = directory + "/log",
                          config = "EDGE_CONFIG=" + directory + "/config.json";
        posix_spawn_file_actions_t fileActions;
        posix_spawn_file_actions_init(&fileActions);
        posix_spawn_file_actions_addopen(&fileActions, 2, log.c_str(),
                                         O_CREAT | O_WRONLY | O_APPEND, 0600);
        const char *arguments[] = {DECKCART_PROGRAM, "gateway", "--platform",
                                   "--logs",         "json",    nullptr};
        const char *environment[] = {config.c_str(), nullptr};
        ASSERT_EQ(posix_spawn(&pid, DECKCART_PROGRAM, &fileActions, nullptr,
                              const_cast<char **>(arguments), const_cast<char **>(environment)),
                  0);
        posix_spawn_file_actions_destroy(&fileActions);
    }
    std::string readLog() const {
        std::ifstream in(directory + "/log");
        return {std::istreambuf_iterator<char>(in), {}};
    }
    // When the program first logged the event, as Unix time in milliseconds.
    std::int64_t eventTimeMs(const std::string &event) const {
        std::istringstream lines(readLog());
        for (std::string line; std::getline(lines, line);) {
            const json entry = json::parse(line);
            if (entry.at("event") == event)
                return entry.at("t_ms").get<std::int64_t>();
        }
        ADD_FAILURE() << "expected an event " << event << " in the log, saw: " << readLog();
        return 0;
    }
    // The most memory that the process has had, in KiB.
    std::size_t peakMemoryKb() const {
        std::ifstream status("/proc/" + std::to_string(pid) + "/status");
        for (std::string line; std::getline(status, line);)
            if (line.starts_with("VmHWM:"))
                return std::stoul(line.substr(6));
        ADD_FAILURE() << "no VmHWM";
        return 0;
    }
    static std::int64_t unixMs() {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
    }
    // False if the program does not log the event in time.
    bool waitForEvent(const std::string &event) {
        return until(
            [&] { return readLog().find(R"("event":")" + event + "\"") != std::string::npos; });
    }
    // The address of the listening event, once it has been logged.
    tcp::endpoint waitForListenAddress() {
        EXPECT_TRUE(waitForEvent("listening")) << readLog();
        const std::string log = readLog();
        const auto at = log.find(R"("listen":")") + 10;
        return *parseAddress(log.substr(at, log.find('"', at) - at));
    }
    RawClient &connectTo(const tcp::endpoint &at) { return clients.emplace_back(io, at); }
    // Stores the exit status of the process once it has exited.
    bool hasExited() {
        if (pid <= 0)
            return true;
        if (waitpid(pid, &exitStatus, WNOHANG) != pid)
            return false;
        pid = 0;
        return true;
    }
    std::string directory;
    pid_t pid = 0;
    int exitStatus = -1;
};

// Guards against a process killed for memory: hundreds of clients that stop half way through a
// large command, and one that floods, while the process stands still for tenths of a second.
TEST_F(Program, BadClientsDoNotTakeTheProcessOverItsMemory) {
    [[maybe_unused]] constexpr std::size_t kMemoryLimitKb = 32 * 1024;  // as in the configuration
    endpoint(echo);
    launch("127.0.0.1:0", 1024);
    const auto address = waitForListenAddress();
    ASSERT_TRUE(waitForEvent("ready"));
    for (int index = 0; index < 400; ++index)
        connectTo(address).sendInBackground(incompleteLargeCommand(130'000));
    std::string pings;
    while (pings.size() < 40'000'000)
        pings += resp::command({"PING"});
    auto &flooding = connectTo(address);
    flooding.sendInBackground(pings);
    for (int stops = 0; stops < 10; ++stops) {
        kill(pid, SIGSTOP);
        until([] { return false; }, 100ms);
        kill(pid, SIGCONT);
        until([] { return false; }, 200ms);
    }
    auto &usual = connectTo(address);
    usual.send(request("usual"));
    EXPECT_TRUE(until([&] { return usual.in == resp::bulk("of usual"); }, 3s)) << usual.in;
#ifndef DECKCART_SANITIZED
    // Not with sanitizers, which add memory of their own to each allocation.
    EXPECT_LT(peakMemoryKb(), kMemoryLimitKb);
#endif
}

// A second SIGTERM or a SIGHUP during a shutdown must not abort the requests in flight.
TEST_F(Program, ASecondSignalAndANewConfigurationLeaveWhatIsInFlightAlone) {
    auto &target = endpoint(neverAnswer);
    launch();
    auto &connection = connectTo(waitForListenAddress());
    connection.send(request("a"));
    ASSERT_TRUE(until([&] { return receivedCommandCount() == 1; })) << readLog();
    kill(pid, SIGHUP);
    kill(pid, SIGTERM);
    ASSERT_TRUE(waitForEvent("draining"));
    kill(pid, SIGTERM);
    kill(pid, SIGHUP);
    ASSERT_TRUE(waitForEvent("draining-already")) << readLog();
    target.send(successReply("of a"));
    EXPECT_TRUE(until([&] { return connection.closed; }));
    EXPECT_EQ(connection.in, resp::bulk("of a"));
    EXPECT_TRUE(until([&] { return hasExited(); }));
    EXPECT_EQ(exitStatus, 0) << readLog();
}

// The platform kills the process a fixed time after SIGTERM. A request that its endpoint never
// answers must get an error response before that instead of a closed connection.
TEST_F(Program, ARequestThatIsNeverAnsweredIsErroredBeforeTheProcessEnds) {
    constexpr auto kKillDelay = 3700ms;  // after SIGTERM, as the platform documents: 3 s and 0.7 s
    endpoint(neverAnswer);
    launch();
    auto &connection = connectTo(waitForListenAddress());
    connection.send(request("a", "once", "3900"));
    ASSERT_TRUE(until([&] { return receivedCommandCount() == 1; })) << readLog();
    const auto signalledAt = std::chrono::steady_clock::now();
    const std::int64_t signalledAtMs = unixMs();
    kill(pid, SIGTERM);
    EXPECT_TRUE(until([&] { return connection.closed; }));
    EXPECT_LT(std::chrono::steady_clock::now() - signalledAt, kKillDelay)
        << "expected the error response before the kill";
    EXPECT_EQ(connection.in, "-ERR failed\r\n");
    EXPECT_TRUE(until([&] { return hasExited(); }));
    EXPECT_EQ(exitStatus, 0) << readLog();
    EXPECT_LT(std::chrono::milliseconds(eventTimeMs("ended") - signalledAtMs), kKillDelay)
        << "expected the last log line before the kill";
#ifndef DECKCART_SANITIZED
    // Not with sanitizers: their leak check runs at exit, after the last log line. It takes 21 to
    // 50 ms, on a busy machine up to 168 ms, and only 50 ms are left before the kill.
    EXPECT_LT(std::chrono::steady_clock::now() - signalledAt, kKillDelay)
        << "expected the process to exit before the kill";
#endif
}

// A replacement starts while the previous process still listens on the address: it must retry to
// listen instead of exiting.
TEST_F(Program, AnAddressThatIsStillTakenIsWaitedFor) {
    tcp::acceptor formerListener(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    const auto at = formerListener.local_endpoint();
    fcntl(formerListener.native_handle(), F_SETFD, FD_CLOEXEC);
    launch(format(at));
    ASSERT_TRUE(waitForEvent("listen"))
        << "expected a failed attempt to listen in the log, saw: " << readLog();
    formerListener.close();
    auto &connection = connectTo(waitForListenAddress());
    connection.send(resp::command({"PING"}));
    EXPECT_TRUE(until([&] { return connection.in == "+PONG\r\n"; }));
}

// The endpoint list in the configuration may be outdated: a request that arrives before the first
// list from discovery must not be sent to an address that another process may use by now.
TEST_F(Program, ARequestThatComesBeforeTheFirstListWaitsForIt) {
    auto &oldEndpoint = endpoint(echo);
    auto &newEndpoint = endpoints.emplace_back(io, echo);
    launch();  // the configuration has the old address only
    fakePlatform.listEndpoint("s1", newEndpoint.address());
    std::string log;
    while ((log = readLog()).find("\"listening\"") == std::string::npos && !hasExited())
        std::this_thread::yield();
    auto &connection = connectTo(waitForListenAddress());
    connection.send(request("a", "once"));
    EXPECT_TRUE(until([&] { return !connection.in.empty(); }));
    EXPECT_EQ(connection.in, resp::bulk("of a"));
    EXPECT_EQ(oldEndpoint.commands.size(), 0u);
}

// A shutdown while the gateway still waits for its first list must end the process with status 0.
TEST_F(Program, ASignalBeforeTheFirstListEndsItInOrder) {
    fakePlatform.scriptedListWatches = {[](http::Exchange &) {}};
    launch();
    waitForListenAddress();
    kill(pid, SIGTERM);
    EXPECT_TRUE(until([&] { return hasExited(); }));
    EXPECT_EQ(exitStatus, 0) << readLog();
}

}  // namespace
}  // namespace deckcart::test
