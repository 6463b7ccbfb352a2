// Parsing and formatting of HOST:PORT addresses. Hosts must be numeric: resolving names is left to
// the DNS resolver.
#pragma once

#include <asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace deckcart {

/// Parses addresses of the form 127.0.0.1:80, [::1]:80 or localhost:80; empty for any other text. A
/// listener on port 0 gets a free port from the system.
[[nodiscard]] std::optional<asio::ip::tcp::endpoint> parseAddress(std::string_view text);
/// Formats as HOST:PORT, with IPv6 hosts in brackets.
[[nodiscard]] std::string format(const asio::ip::tcp::endpoint &address);

}  // namespace deckcart
