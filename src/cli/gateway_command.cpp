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

// The environment variable EDGE_CONFIG names the configuration file.
int runOnPlatform(const GatewayOptions &options) {
    const char *configuration = std::getenv("EDGE_CONFIG");
    if (configuration == nullptr) {
        std::cerr << "deckcart: EDGE_CONFIG is not set\n";
        return kBadInput;
    }
    return platform::runGateway(configuration, options.logs, options.requestLogSample);
}

int runStandalone(const GatewayOptions &options) {
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
        "gateway", "run a gateway until SIGTERM; PUT /v1/settings configures it");
    auto *onPlatform =
        command->add_flag("--platform", options->platform,
                          "run on the platform; EDGE_CONFIG names its configuration file");
    command
        ->add_option("--req-sample", options->requestLogSample,
                     "with --platform: fraction of requests that are logged")
        ->check(CLI::Range(0.0, 1.0));
    command->add_option("--listen", options->listen, "address for clients; port 0 picks one")
        ->excludes(onPlatform)
        ->check(addressValidator());
    command->add_option("--api", options->api, "address of the API")
        ->excludes(onPlatform)
        ->check(addressValidator());
    command
        ->add_option(
            "--state", options->state,
            "folder for saved settings and the saved endpoint list; without it nothing is saved")
        ->excludes(onPlatform);
    command
        ->add_option("--ready-file", options->readyFile,
                     "file that gets the addresses once the gateway listens")
        ->excludes(onPlatform);
    command->add_option("--logs", options->logs, "text, json or none")
        ->transform(CLI::CheckedTransformer(logForms()));
    command
        ->add_option("--shell-fault", options->shellFaults,
                     "a fault of the data path, to test the invariant checker")
        ->check(CLI::IsMember(shellFaultNames()));
    return {command, [options] {
                return options->platform ? runOnPlatform(*options) : runStandalone(*options);
            }};
}

}  // namespace deckcart::cli
