#include "api_commands.hpp"

#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <memory>

#include "../base/address.hpp"
#include "../http/fetch.hpp"
#include "../settings/gateway_settings.hpp"
#include "members_table.hpp"

namespace deckcart::cli {
namespace {

using nlohmann::json;

constexpr Duration kCallTimeout = std::chrono::seconds(10);

struct ApiOptions {
    std::string api;
    std::string file;  // a settings document; - for standard input
    bool json = false;
};

// Formats the body of a 2xx response for output.
using Formatter = std::string (*)(const std::string &body);

std::string asReceived(const std::string &body) {
    return body;
}

int callApi(const std::string &api, const http::RequestHead &head, const std::string &body,
            Formatter format) {
    asio::io_context io{1};
    http::Fetched result;
    http::Fetch::start(io, *parseAddress(api), head, body, kCallTimeout,
                       [&](const http::Fetched &fetched) { result = fetched; });
    io.run();
    if (!result.inTime || result.outcome != http::CallEnd::complete) {
        std::cerr << "deckcart: no response from " << api << '\n';
        return kFailed;
    }
    if (result.ok()) {
        std::cout << format(result.body);
        return kDone;
    }
    std::cerr << result.body;
    return result.head.status < 500 ? kBadInput : kFailed;
}

int get(const std::string &api, const std::string &path, Formatter format = asReceived) {
    http::RequestHead head;
    head.method = "GET";
    head.target = path;
    return callApi(api, head, {}, format);
}

std::optional<std::string> readDocument(const std::string &file) {
    std::ifstream from(file);
    if (file != "-" && !from) {
        std::cerr << file << ": cannot be read\n";
        return std::nullopt;
    }
    std::istream &in = file == "-" ? std::cin : from;
    return std::string(std::istreambuf_iterator<char>(in), {});
}

// Writes every fault of the document to standard error.
bool isAccepted(const std::string &file, const std::string &text) {
    try {
        const auto read = parseSettings(json::parse(text));
        for (const auto &refusal : read.refused)
            std::cerr << file << ": " << (refusal.path.empty() ? "/" : refusal.path) << ": "
                      << refusal.reason << '\n';
        return read.settings.has_value();
    } catch (const json::parse_error &error) {
        std::cerr << file << ": " << error.what() << '\n';
        return false;
    }
}

int checkSettings(const std::string &file) {
    const auto document = readDocument(file);
    return document && isAccepted(file, *document) ? kDone : kBadInput;
}

// Checks the document before it is sent, so that its faults are reported without a gateway.
int applySettings(const ApiOptions &options) {
    const auto document = readDocument(options.file);
    if (!document || !isAccepted(options.file, *document))
        return kBadInput;
    http::RequestHead head;
    head.method = "PUT";
    head.target = "/v1/settings";
    return callApi(options.api, head, *document, asReceived);
}

}  // namespace

std::vector<Command> addApiCommands(CLI::App &program) {
    const auto options = std::make_shared<ApiOptions>();
    const auto addApi = [&](CLI::App *command) {
        command->add_option("--api", options->api, "the gateway's API")
            ->required()
            ->check(addressValidator());
        return command;
    };
    const auto addFile = [&](CLI::App *command) {
        command->add_option("file", options->file, "a JSON document, - for standard input")
            ->required();
        return command;
    };
    auto *settings = program.add_subcommand("settings", "a gateway's settings");
    settings->require_subcommand(1);
    auto *getSettings = addApi(settings->add_subcommand("get", "print the settings in force"));
    auto *apply = addFile(
        addApi(settings->add_subcommand("apply", "send a settings document to the gateway")));
    auto *check = addFile(settings->add_subcommand("check", "check a document without a gateway"));
    auto *status = addApi(program.add_subcommand("status", "a gateway's counters"));
    auto *members = addApi(
        program.add_subcommand("members", "the endpoints that a gateway routes to, and why"));
    members->add_flag("--json", options->json, "the complete response as JSON");
    return {
        {getSettings, [options] { return get(options->api, "/v1/settings"); }},
        {apply, [options] { return applySettings(*options); }},
        {check, [options] { return checkSettings(options->file); }},
        {status, [options] { return get(options->api, "/v1/status"); }},
        {members,
         [options] {
             return get(options->api, "/v1/members", options->json ? asReceived : membersTable);
         }},
    };
}

}  // namespace deckcart::cli
