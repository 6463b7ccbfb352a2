// The subcommands around rehearsals: reads files, prints, turns verdicts into exit statuses.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace deckcart::cli {

struct RehearseWords {
    std::vector<std::string> days, shellFaults;
    std::optional<std::uint64_t> seed;
    int seeds = 1;
    std::string keep, records;
    bool json = false;
};

int rehearse(const RehearseWords &words);
int audit(const std::string &day, const std::string &records);

}  // namespace deckcart::cli
