// HOST:PORT, as operators write it. Numeric hosts only: names are the resolver's business. Used
// wherever an address is given or shown.
#pragma once

#include <asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace deckcart {

/// 127.0.0.1:80, [::1]:80 or localhost:80; empty if it is none of these. Port 0 picks one.
[[nodiscard]] std::optional<asio::ip::tcp::endpoint> parseAddress(std::string_view text);
/// The same form, IPv6 hosts in brackets.
[[nodiscard]] std::string format(const asio::ip::tcp::endpoint &address);

}  // namespace deckcart
