// The process of a gateway: starts the gateway with the contents of its state folder and shuts it
// down on signals. Called by the command line.
#pragma once

#include <asio/ip/tcp.hpp>
#include <filesystem>

#include "../base/log.hpp"
#include "gateway.hpp"

namespace deckcart {

/// Start options of the process.
struct ServiceOptions {
    asio::ip::tcp::endpoint listen;  ///< address for clients; port 0 picks a free port
    asio::ip::tcp::endpoint api;     ///< address of the operators' API; port 0 picks a free port
    std::filesystem::path state;     ///< state folder; empty: no state is kept
    /// both addresses are written to this file once they accept connections; empty: none
    std::filesystem::path readyFile;
    LogFormat logs = LogFormat::text;
    DataPathFaults faults;
};

/// Runs until SIGTERM or SIGINT, then drains the gateway. Returns the exit status: 0, or 1 with a
/// log line if it can't start.
[[nodiscard]] int runGateway(const ServiceOptions &options);

}  // namespace deckcart
