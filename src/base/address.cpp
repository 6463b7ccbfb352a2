#include "address.hpp"

#include <charconv>

namespace deckcart {

std::optional<asio::ip::tcp::endpoint> parseAddress(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string_view host = text.substr(0, colon);
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error != std::errc{} || end != digits.data() + digits.size())
        return std::nullopt;
    if (host == "localhost")
        host = "127.0.0.1";
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
        host = host.substr(1, host.size() - 2);
    asio::error_code addressError;
    const auto address = asio::ip::make_address(std::string(host), addressError);
    if (addressError || address.is_v6() != bracketed)
        return std::nullopt;
    return asio::ip::tcp::endpoint{address, port};
}

std::string format(const asio::ip::tcp::endpoint &address) {
    const std::string host = address.address().to_string();
    return (address.address().is_v6() ? "[" + host + "]" : host) + ":" +
           std::to_string(address.port());
}

}  // namespace deckcart
