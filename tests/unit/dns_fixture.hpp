// Shared by the DNS tests: names, addresses, and short forms of records, replies and questions.
#pragma once

#include <gtest/gtest.h>

#include "../../src/dns/lookup.hpp"

namespace deckcart::test {

using namespace dns;
using std::chrono::milliseconds;
using std::chrono::seconds;

inline const std::string kName = "_relay._tcp.example.org.";
inline const asio::ip::address kIpv4 = asio::ip::make_address("192.0.2.1");
inline const asio::ip::address kOtherIpv4 = asio::ip::make_address("192.0.2.2");
inline const asio::ip::address kIpv6 = asio::ip::make_address("2001:db8::1");

inline Message reply(std::vector<Record> answers, std::vector<Record> additional = {},
                     ResponseCode code = ResponseCode::noError) {
    Message message;
    message.reply = true;
    message.code = std::uint8_t(code);
    message.answers = std::move(answers);
    message.additional = std::move(additional);
    return message;
}
inline Record srv(const std::string &target, std::uint16_t priority = 0, std::uint16_t weight = 1,
                  std::uint16_t port = 80, std::uint32_t ttl = 30) {
    return {kName, ttl, Srv{priority, weight, port, target}};
}
inline Question askedFor(const std::string &name, RecordType type) {
    return {name, type};
}

}  // namespace deckcart::test
