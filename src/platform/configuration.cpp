#include "configuration.hpp"

#include <charconv>

#include "json_fields.hpp"
#include "rollout_documents.hpp"

namespace deckcart::platform {
namespace {

// What a machine may state: guards against a unit that was mixed up.
constexpr double kLeastCores = 0.001;
constexpr double kMaxCores = 1024;
constexpr double kLeastMemoryMb = 8;
constexpr double kMaxMemoryMb = 1e9;
constexpr double kLeastSockets = 64;
constexpr double kMaxSockets = 1e9;
constexpr int kHexadecimal = 16;

std::uint64_t parseSeed(const JsonFields &fields) {
    const std::string text = fields.text("seed");
    const char *end = text.data() + text.size();
    std::uint64_t seed = 0;
    const auto read = std::from_chars(text.data(), end, seed, kHexadecimal);
    if (read.ec != std::errc{} || read.ptr != end)
        fields.fail("seed", "is no hexadecimal number of 64 bits");
    return seed;
}

// Reads a section of the document with its own reader; an error gets the section's name in front.
auto parseSection(const char *section, auto read) {
    try {
        return read();
    } catch (const std::exception &fault) {
        throw ParseError(section, std::string(section) + ": " + fault.what());
    }
}

}  // namespace

PlatformConfiguration parseConfiguration(const std::string &text) {
    const nlohmann::json document = parseUniqueKeys(text);
    const JsonFields fields(document);
    PlatformConfiguration out;
    out.name = fields.text("name");
    out.listen = fields.address("listen");
    out.discovery = fields.address("discovery");
    out.seed = parseSeed(fields);

    const JsonFields limits(fields.required("limits"), "limits");
    out.cores = limits.number("cores", kLeastCores, kMaxCores);
    out.memoryMb = std::size_t(limits.number("memory_mb", kLeastMemoryMb, kMaxMemoryMb));
    out.sockets = std::size_t(limits.number("sockets", kLeastSockets, kMaxSockets));

    const nlohmann::json &control = fields.required("platform");
    out.control = JsonFields(control, "platform").address("address");

    const nlohmann::json &settings = fields.required("settings");
    out.settings =
        parseSection("settings", [&] { return simulator::readSettings(settings, out.seed); });
    const auto rollout = control.find("news");
    if (rollout != control.end() && !rollout->is_null())
        out.knownRollout =
            parseSection("platform.news", [&] { return parseRolloutUpdate(*rollout); });
    out.knownEndpoints = parseSection(
        "known", [&] { return parseDiscoveryList(fields.required("known"), out.settings.zones); });
    return out;
}

}  // namespace deckcart::platform
