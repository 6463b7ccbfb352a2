#include "api_calls.hpp"

#include <fstream>
#include <iostream>

#include "../base/address.hpp"
#include "../http/fetch.hpp"
#include "../settings/orders.hpp"

namespace deckcart::cli {
namespace {

constexpr int kFailed = 1, kBadInput = 2;
constexpr Span kAnswerWithin = std::chrono::seconds(10);

int call(const std::string &api, const std::string &method, const std::string &path,
         const std::string &body) {
    asio::io_context io{1};
    http::RequestHead head;
    head.method = method, head.target = path;
    http::Fetched got;
    http::Fetch::start(io, *parseAddress(api), head, body, kAnswerWithin,
                       [&](const http::Fetched &what) { got = what; });
    io.run();
    if (!got.inTime || got.how != http::CallEnd::complete) {
        std::cerr << "deckcart: no answer from " << api << '\n';
        return kFailed;
    }
    (got.ok() ? std::cout : std::cerr) << got.body;
    return got.ok() ? 0 : got.head.status < 500 ? kBadInput : kFailed;
}

bool refused(const std::string &file, const std::string &text) {
    try {
        const auto read = readOrders(nlohmann::json::parse(text));
        for (const auto &one : read.refused)
            std::cerr << file << ": " << (one.path.empty() ? "/" : one.path) << ": " << one.reason << '\n';
        return !read.orders;
    } catch (const nlohmann::json::parse_error &fault) {
        std::cerr << file << ": " << fault.what() << '\n';
        return true;
    }
}

bool readAll(const std::string &file, std::string &text) {
    std::ifstream from(file);
    if (file != "-" && !from) {
        std::cerr << file << ": can't be read\n";
        return false;
    }
    std::istream &in = file == "-" ? std::cin : from;
    text.assign(std::istreambuf_iterator<char>(in), {});
    return true;
}

}  // namespace

int get(const std::string &api, const std::string &path) { return call(api, "GET", path, {}); }

int checkSettings(const std::string &file) {
    std::string text;
    return !readAll(file, text) || refused(file, text) ? kBadInput : 0;
}

int applySettings(const std::string &api, const std::string &file) {
    std::string text;
    if (!readAll(file, text) || refused(file, text)) return kBadInput;
    return call(api, "PUT", "/v1/settings", text);
}

}  // namespace deckcart::cli
