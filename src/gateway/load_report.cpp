#include "load_report.hpp"

#include <charconv>
#include <system_error>

namespace deckcart {
namespace {

constexpr std::size_t kMaxValues = 4;  // number of fields defined for a load report

}  // namespace

std::vector<double> parseLoadReport(std::string_view text) {
    std::vector<double> load;
    const char *position = text.data();
    const char *const end = position + text.size();
    while (position != end && load.size() < kMaxValues) {
        while (position != end && (*position == ' ' || *position == ','))
            ++position;
        double value = 0;
        const auto [next, error] = std::from_chars(position, end, value);
        if (error != std::errc{})
            break;
        load.push_back(value);
        position = next;
    }
    return load;
}

}  // namespace deckcart
