// The process around a gateway: its API, its state folder, its signals.
#pragma once

#include <filesystem>
#include <memory>

#include "gateway.hpp"

namespace deckcart {

struct ServiceStart {
    asio::ip::tcp::endpoint listen, api;
    std::filesystem::path state;      // empty: nothing is kept
    std::filesystem::path readyFile;  // empty: none
    LogForm logs = LogForm::text;
    ShellFaults faults;
};

// Runs until SIGTERM or SIGINT has drained it. Returns the exit status: 0, or 1 with a log line
// when it can't start.
int runGateway(const ServiceStart &start);

}  // namespace deckcart
