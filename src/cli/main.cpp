// The program: subcommands and their options. No logic.
#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>

#include "../base/address.hpp"
#include "../gateway/service.hpp"
#include "../platform/service.hpp"
#include "api_calls.hpp"
#include "scenario_command.hpp"

namespace {

using deckcart::LogForm;

const std::vector<std::string> kShellFaults{"sends-after-drain", "answers-twice",
                                            "repeats-non-retriable"};
const std::map<std::string, LogForm> kLogForms{
    {"text", LogForm::text}, {"json", LogForm::json}, {"none", LogForm::none}};

CLI::Validator address() {
    return CLI::Validator(
        [](const std::string &text) {
            return deckcart::parseAddress(text) ? std::string{} : "'" + text + "' is not HOST:PORT";
        },
        "HOST:PORT");
}

}  // namespace

int main(int argc, char **argv) {
    CLI::App app{
        "deckcart: a release controller with the router that shifts traffic between builds"};
    app.require_subcommand(1);

    std::string listen, api, state, readyFile;
    LogForm logs = LogForm::text;
    std::vector<std::string> faults;
    auto *gateway = app.add_subcommand(
        "gateway", "run a gateway until SIGTERM; settings come by PUT /v1/settings");
    bool platform = false;
    auto *onPlatform = gateway->add_flag(
        "--platform", platform,
        "serve as the platform's configuration, the file EDGE_CONFIG names, says");
    double requestLogSample = 0;
    gateway
        ->add_option("--req-sample", requestLogSample,
                     "under --platform: part of the requests that are logged")
        ->check(CLI::Range(0.0, 1.0));
    gateway->add_option("--listen", listen, "where clients connect; port 0 picks one")
        ->excludes(onPlatform)
        ->check(address());
    gateway->add_option("--api", api, "where the API listens")
        ->excludes(onPlatform)
        ->check(address());
    gateway
        ->add_option("--state", state,
                     "folder of the saved settings and list; without it nothing is kept")
        ->excludes(onPlatform);
    gateway
        ->add_option("--ready-file", readyFile, "written with the chosen addresses once it listens")
        ->excludes(onPlatform);
    gateway->add_option("--logs", logs, "text, json or none")
        ->transform(CLI::CheckedTransformer(kLogForms));
    gateway
        ->add_option("--shell-fault", faults,
                     "to test the invariant checker: a fault of the data path")
        ->check(CLI::IsMember(kShellFaults));

    std::string file;
    auto *settings = app.add_subcommand("settings", "a gateway's settings");
    settings->require_subcommand(1);
    const auto atApi = [&](CLI::App *command) {
        command->add_option("--api", api, "the gateway's API")->required()->check(address());
        return command;
    };
    auto *settingsGet = atApi(settings->add_subcommand("get", "print those in force"));
    auto *settingsApply = atApi(settings->add_subcommand("apply", "give it a document"));
    settingsApply->add_option("file", file, "a JSON document, - for standard input")->required();
    auto *settingsCheck = settings->add_subcommand("check", "check a document without a gateway");
    settingsCheck->add_option("file", file, "a JSON document, - for standard input")->required();
    auto *status = atApi(app.add_subcommand("status", "a gateway's counts"));
    auto *members =
        atApi(app.add_subcommand("members", "the endpoints that a gateway routes to, and why"));
    bool asJson = false;
    members->add_flag("--json", asJson, "all that the gateway tells, as JSON");

    deckcart::cli::RehearseWords words;
    auto *scenario = app.add_subcommand(
        "scenario", "play fault scenarios through real gateways and check the rules");
    scenario->alias("rehearse");  // the former name, for scripts
    scenario->add_option("scenarios", words.days, "their documents, see docs/operate/scenarios.md")
        ->required();
    scenario->add_option("--seed", words.seed, "instead of the scenario's own");
    scenario->add_option("--seeds", words.seeds, "plays each so many times, seed after seed")
        ->check(CLI::Range(1, 1000));
    scenario->add_option("--keep", words.keep,
                         "folder for the gateways' logs and state; else they are thrown away");
    scenario->add_option("--records", words.records,
                         "file for what was seen at the sockets, for deckcart audit");
    scenario->add_flag("--json", words.json, "the report as JSON");
    rehearse
        ->add_option("--shell-fault", words.shellFaults,
                     "a fault of the data path, which the invariant checker must find")
        ->check(CLI::IsMember(kShellFaults));
    std::string day, records;
    auto *audit = app.add_subcommand("audit", "check the records of a scenario run by the rules");
    audit->add_option("day", day, "the scenario's document")->required();
    audit->add_option("records", records, "what scenario --records wrote")->required();

    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &said) {
        return app.exit(said) == 0 ? 0 : 2;
    }
    if (gateway->parsed() && platform) {
        const char *config = std::getenv("EDGE_CONFIG");
        if (!config)
            return std::cerr << "deckcart: EDGE_CONFIG is not set\n", 2;
        return deckcart::platform::runGateway(config, logs, requestLogSample);
    }
    if (gateway->parsed()) {
        if (listen.empty() || api.empty())
            return std::cerr << "deckcart: --listen and --api are required without --platform\n", 2;
        deckcart::ServiceStart start{*deckcart::parseAddress(listen),
                                     *deckcart::parseAddress(api),
                                     state,
                                     readyFile,
                                     logs,
                                     {}};
        for (const auto &fault : faults) {
            start.faults.sendsAfterDrain |= fault == "sends-after-drain";
            start.faults.answersTwice |= fault == "answers-twice";
            start.faults.repeatsNonRetriable |= fault == "repeats-non-retriable";
        }
        return deckcart::runGateway(start);
    }
    if (settingsGet->parsed())
        return deckcart::cli::get(api, "/v1/settings");
    if (settingsApply->parsed())
        return deckcart::cli::applySettings(api, file);
    if (settingsCheck->parsed())
        return deckcart::cli::checkSettings(file);
    if (status->parsed())
        return deckcart::cli::get(api, "/v1/status");
    if (members->parsed())
        return deckcart::cli::members(api, asJson);
    if (scenario->parsed())
        return deckcart::cli::rehearse(words);
    if (audit->parsed())
        return deckcart::cli::audit(day, records);
    return 2;
}
