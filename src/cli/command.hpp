// What the subcommands share: how they are added, and their exit statuses.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>
#include <string>
#include <vector>

namespace deckcart::cli {

/// Exit statuses of all subcommands.
constexpr int kDone = 0;
constexpr int kFailed = 1;      ///< the operation failed
constexpr int kBadInput = 2;    ///< bad usage or bad input
constexpr int kRuleBroken = 3;  ///< a scenario run broke a rule

/// A subcommand and its function, which runs once its options are parsed and returns an exit
/// status.
struct Command {
    CLI::App *app = nullptr;
    std::function<int()> run;
};

/// Accepts HOST:PORT with a numeric host.
[[nodiscard]] CLI::Validator addressValidator();

/// Faults that a gateway can be started with, to test that the invariant checker finds them.
[[nodiscard]] const std::vector<std::string> &shellFaultNames();

}  // namespace deckcart::cli
