#include "gateway_command.hpp"

#include <cstdlib>
#include <iostream>
#include <memory>

#include "../base/address.hpp"
#include "../gateway/service.hpp"
#include "../platform/service.hpp"

namespace deckcart::cli {
namespace {

const std::map<std::string, LogFormat> &logForms() {
    static const std::map<std::string, LogFormat> byName{
        {"text", LogFormat::text}, {"json", LogFormat::json}, {"none", LogFormat::none}};
    return byName;
}

struct GatewayOptions {
    std::string listen;
    std::string api;
    std::string state;
    std::string readyFile;
    LogFormat logs = LogFormat::text;
    std::vector<std::string> shellFaults;
    bool platform = false;
    double requestLogSample = 0;
};

// The configuration is the file that EDGE_CONFIG names.
int runOnPlatform(const GatewayOptions &options) {
    const char *configuration = std::getenv("EDGE_CONFIG");
    if (configuration == nullptr) {
        std::cerr << "deckcart: EDGE_CONFIG is not set\n";
        return kBadInput;
    }
    return platform::runGateway(configuration, options.logs, options.requestLogSample);
}

int runAlone(const GatewayOptions &options) {
    if (options.listen.empty() || options.api.empty()) {
        std::cerr << "deckcart: --listen and --api are required without --platform\n";
        return kBadInput;
    }
    ServiceOptions start;
    start.listen = *parseAddress(options.listen);
    start.api = *parseAddress(options.api);
    start.state = options.state;
    start.readyFile = options.readyFile;
    start.logs = options.logs;
    for (const auto &fault : options.shellFaults) {
        start.faults.sendsAfterDrain |= fault == "sends-after-drain";
        start.faults.answersTwice |= fault == "answers-twice";
        start.faults.repeatsNonRetriable |= fault == "repeats-non-retriable";
    }
    return runGateway(start);
}

}  // namespace

Command addGatewayCommand(CLI::App &program) {
    const auto options = std::make_shared<GatewayOptions>();
    auto *command = program.add_subcommand(
        "gateway", "run a gateway until SIGTERM; settings come by PUT /v1/settings");
    auto *onPlatform = command->add_flag(
        "--platform", options->platform,
        "serve as the platform's configuration, the file EDGE_CONFIG names, says");
    command
        ->add_option("--req-sample", options->requestLogSample,
                     "under --platform: part of the requests that are logged")
        ->check(CLI::Range(0.0, 1.0));
    command->add_option("--listen", options->listen, "where clients connect; port 0 picks one")
        ->excludes(onPlatform)
        ->check(addressValidator());
    command->add_option("--api", options->api, "where the API listens")
        ->excludes(onPlatform)
        ->check(addressValidator());
    command
        ->add_option("--state", options->state,
                     "folder of the saved settings and list; without it nothing is kept")
        ->excludes(onPlatform);
    command
        ->add_option("--ready-file", options->readyFile,
                     "written with the chosen addresses once it listens")
        ->excludes(onPlatform);
    command->add_option("--logs", options->logs, "text, json or none")
        ->transform(CLI::CheckedTransformer(logForms()));
    command
        ->add_option("--shell-fault", options->shellFaults,
                     "to test the invariant checker: a fault of the data path")
        ->check(CLI::IsMember(shellFaultNames()));
    return {command,
            [options] { return options->platform ? runOnPlatform(*options) : runAlone(*options); }};
}

}  // namespace deckcart::cli
