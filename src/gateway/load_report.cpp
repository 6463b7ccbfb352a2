#include "load_report.hpp"

#include <charconv>
#include <system_error>

namespace deckcart {
namespace {

constexpr std::size_t kMaxValues = 4;  // the fields that a report is defined to have

}  // namespace

std::vector<double> parseLoadReport(std::string_view text) {
    std::vector<double> load;
    const char *at = text.data();
    const char *const end = at + text.size();
    while (at != end && load.size() < kMaxValues) {
        while (at != end && (*at == ' ' || *at == ','))
            ++at;
        double value = 0;
        const auto [next, fault] = std::from_chars(at, end, value);
        if (fault != std::errc{})
            break;
        load.push_back(value);
        at = next;
    }
    return load;
}

}  // namespace deckcart
