// The process around a gateway: starts it with what its state folder holds, ends it by signal.
// Called by the command line; API, state folder and signals are modules of their own.
#pragma once

#include <asio/ip/tcp.hpp>
#include <filesystem>

#include "../base/log.hpp"
#include "gateway.hpp"

namespace deckcart {

/// How the process was started.
struct ServiceStart {
    asio::ip::tcp::endpoint listen;   ///< for clients; port 0 picks one
    asio::ip::tcp::endpoint api;      ///< for operators; port 0 picks one
    std::filesystem::path state;      ///< folder; empty: nothing is kept
    std::filesystem::path readyFile;  ///< gets both addresses once they listen; empty: none
    LogForm logs = LogForm::text;
    DataPathFaults faults;
};

/// Runs until SIGTERM or SIGINT has drained it. Returns the exit status: 0, or 1 with a log line
/// when it can't start.
[[nodiscard]] int runGateway(const ServiceStart &start);

}  // namespace deckcart
