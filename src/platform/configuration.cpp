#include "configuration.hpp"

#include <charconv>

#include "json_fields.hpp"
#include "rollout_documents.hpp"

namespace deckcart::platform {
namespace {

// Plausible range of each resource limit: rejects a value given in the wrong unit.
constexpr double kMinCores = 0.001;
constexpr double kMaxCores = 1024;
constexpr double kMinMemoryMb = 8;
constexpr double kMaxMemoryMb = 1e9;
constexpr double kMinSockets = 64;
constexpr double kMaxSockets = 1e9;
constexpr int kHexBase = 16;

std::uint64_t parseSeed(const JsonFields &fields) {
    const std::string text = fields.text("seed");
    const char *end = text.data() + text.size();
    std::uint64_t seed = 0;
    const auto result = std::from_chars(text.data(), end, seed, kHexBase);
    if (result.ec != std::errc{} || result.ptr != end)
        fields.fail("seed", "is not a 64-bit hexadecimal number");
    return seed;
}

// Calls the parser of one section of the document and prefixes its errors with the section's name.
auto parseSection(const char *section, auto parse) {
    try {
        return parse();
    } catch (const std::exception &error) {
        throw ParseError(section, std::string(section) + ": " + error.what());
    }
}

}  // namespace

PlatformConfiguration parseConfiguration(const std::string &text) {
    const nlohmann::json document = parseUniqueKeys(text);
    const JsonFields fields(document);
    PlatformConfiguration configuration;
    configuration.name = fields.text("name");
    configuration.listen = fields.address("listen");
    configuration.discovery = fields.address("discovery");
    configuration.seed = parseSeed(fields);

    const JsonFields limits(fields.required("limits"), "limits");
    configuration.cores = limits.number("cores", kMinCores, kMaxCores);
    configuration.memoryMb = std::size_t(limits.number("memory_mb", kMinMemoryMb, kMaxMemoryMb));
    configuration.sockets = std::size_t(limits.number("sockets", kMinSockets, kMaxSockets));

    const nlohmann::json &control = fields.required("platform");
    configuration.control = JsonFields(control, "platform").address("address");

    const nlohmann::json &settings = fields.required("settings");
    configuration.settings = parseSection(
        "settings", [&] { return simulator::readSettings(settings, configuration.seed); });
    const auto rollout = control.find("news");
    if (rollout != control.end() && !rollout->is_null())
        configuration.knownRollout =
            parseSection("platform.news", [&] { return parseRolloutUpdate(*rollout); });
    configuration.knownEndpoints = parseSection("known", [&] {
        return parseDiscoveryList(fields.required("known"), configuration.settings.zones);
    });
    return configuration;
}

}  // namespace deckcart::platform
