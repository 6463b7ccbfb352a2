// The program: subcommands and their options. No logic.
#include <CLI/CLI.hpp>

#include "../base/address.hpp"
#include "../gateway/service.hpp"

namespace {

using deckcart::LogForm;

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
    CLI::App app{"deckcart: a release controller with the router that shifts traffic between builds"};
    app.require_subcommand(1);

    std::string listen, api, state, readyFile;
    LogForm logs = LogForm::text;
    std::vector<std::string> faults;
    auto *gateway =
        app.add_subcommand("gateway", "run a gateway until SIGTERM; settings come by PUT /v1/settings");
    gateway->add_option("--listen", listen, "where clients connect; port 0 picks one")
        ->required()
        ->check(address());
    gateway->add_option("--api", api, "where the API listens")->required()->check(address());
    gateway->add_option("--state", state,
                        "folder of the saved settings and list; without it nothing is kept");
    gateway->add_option("--ready-file", readyFile, "written with the chosen addresses once it listens");
    gateway->add_option("--logs", logs, "text, json or none")->transform(CLI::CheckedTransformer(kLogForms));
    gateway->add_option("--shell-fault", faults, "for rehearsals of the auditor: a fault of the data path")
        ->check(CLI::IsMember({"sends-after-drain", "answers-twice", "repeats-non-retriable"}));

    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &said) {
        return app.exit(said) == 0 ? 0 : 2;
    }
    if (gateway->parsed()) {
        deckcart::ServiceStart start{
            *deckcart::parseAddress(listen), *deckcart::parseAddress(api), state, readyFile, logs, {}};
        for (const auto &fault : faults) {
            start.faults.sendsAfterDrain |= fault == "sends-after-drain";
            start.faults.answersTwice |= fault == "answers-twice";
            start.faults.repeatsNonRetriable |= fault == "repeats-non-retriable";
        }
        return deckcart::runGateway(start);
    }
    return 2;
}
