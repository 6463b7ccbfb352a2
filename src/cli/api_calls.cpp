#include "api_calls.hpp"

#include <fmt/format.h>
#include <fstream>
#include <functional>
#include <iostream>

#include "../base/address.hpp"
#include "../http/fetch.hpp"
#include "../settings/gateway_settings.hpp"

namespace deckcart::cli {
namespace {

using nlohmann::json;

constexpr int kFailed = 1, kBadInput = 2;
constexpr Duration kAnswerWithin = std::chrono::seconds(10);

int call(const std::string &api, const std::string &method, const std::string &path,
         const std::string &body,
         const std::function<std::string(const std::string &)> &shown = nullptr) {
    asio::io_context io{1};
    http::RequestHead head;
    head.method = method, head.target = path;
    http::Fetched got;
    http::Fetch::start(io, *parseAddress(api), head, body, kAnswerWithin,
                       [&](const http::Fetched &what) { got = what; });
    io.run();
    if (!got.inTime || got.outcome != http::CallEnd::complete) {
        std::cerr << "deckcart: no answer from " << api << '\n';
        return kFailed;
    }
    (got.ok() ? std::cout : std::cerr) << (got.ok() && shown ? shown(got.body) : got.body);
    return got.ok() ? 0 : got.head.status < 500 ? kBadInput : kFailed;
}

std::string seconds(const json &of, const char *name) {
    return of.contains(name) ? fmt::format("{:.1f}", of[name].get<double>() / 1000)
                             : std::string("-");
}

std::string tableOf(const std::string &body) {
    const json said = json::parse(body, nullptr, false);
    if (!said.is_object())
        return body;
    std::string out =
        fmt::format("{:<24}{:>6} {:<9}{:>7}{:>9}{:>7}  {:<7}{}\n", "instance", "build", "readiness",
                    "weight", "told s", "left s", "state", "reason");
    for (const auto &one : said.value("instances", json::array()))
        out +=
            fmt::format("{:<24}{:>6} {:<9}{:>7.3f}{:>9}{:>7}  {:<7}{}{}\n", one.value("id", ""),
                        one.value("build", 0), one.value("readiness", ""), one.value("weight", 1.0),
                        seconds(one, "toldAgoMs"), seconds(one, "lifetimeLeftMs"),
                        one.value("state", ""), one.value("inSet", true) ? "" : "(not in the set) ",
                        one.value("reason", "listed by desk"));
    if (said.contains("sources"))
        out += fmt::format("\n{:<40}{:<11}{:>7}{:>6}{:>9}{:>9}  {}\n", "source", "state", "listed",
                           "held", "told s", "left s", "fault");
    for (const auto &one : said.value("sources", json::array()))
        out += fmt::format("{:<40}{:<11}{:>7}{:>6}{:>9}{:>9}  {}\n", one.value("name", ""),
                           one.value("state", ""), one.value("listed", 0),
                           one.value("heldLosses", 0), seconds(one, "toldAgoMs"),
                           seconds(one, "lifetimeLeftMs"), one.value("fault", ""));
    if (said.contains("stage")) {
        const auto &s = said["stage"];
        out += fmt::format("\nstage: build {} step {} {} cap {:.2f}\n", s.value("build", 0),
                           s.value("step", 0), s.value("phase", ""), s.value("cap", 0.0));
    }
    return out;
}

bool refused(const std::string &file, const std::string &text) {
    try {
        const auto read = parseSettings(nlohmann::json::parse(text));
        for (const auto &one : read.refused)
            std::cerr << file << ": " << (one.path.empty() ? "/" : one.path) << ": " << one.reason
                      << '\n';
        return !read.settings;
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

int members(const std::string &api, bool asJson) {
    return call(api, "GET", "/v1/members", {}, asJson ? nullptr : tableOf);
}

int get(const std::string &api, const std::string &path) {
    return call(api, "GET", path, {});
}

int checkSettings(const std::string &file) {
    std::string text;
    return !readAll(file, text) || refused(file, text) ? kBadInput : 0;
}

int applySettings(const std::string &api, const std::string &file) {
    std::string text;
    if (!readAll(file, text) || refused(file, text))
        return kBadInput;
    return call(api, "PUT", "/v1/settings", text);
}

}  // namespace deckcart::cli
