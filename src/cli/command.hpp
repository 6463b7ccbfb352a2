// What the program's subcommands have in common: how they are added, their exit statuses.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>
#include <string>
#include <vector>

namespace deckcart::cli {

/// Exit statuses of all subcommands.
constexpr int kDone = 0;
constexpr int kFailed = 1;      ///< the thing asked for failed
constexpr int kBadInput = 2;    ///< bad usage or bad input
constexpr int kRuleBroken = 3;  ///< a scenario run broke a rule

/// A subcommand and what it does once its options are parsed.
struct Command {
    CLI::App *app = nullptr;
    std::function<int()> run;
};

/// Accepts HOST:PORT with a numeric host.
[[nodiscard]] CLI::Validator addressValidator();

/// Faults of the data path that tests of the invariant checker ask for.
[[nodiscard]] const std::vector<std::string> &shellFaultNames();

}  // namespace deckcart::cli
