// State and helpers shared by the readers of the sections of the settings document. Internal to
// this folder.
#pragma once

#include <array>
#include <asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "gateway_settings.hpp"

namespace deckcart::settings {

/// Reads one settings document. The document must match the schema, so that types and ranges of
/// single fields are known to be valid.
class SettingsReader {
  public:
    explicit SettingsReader(const nlohmann::json &settingsDocument) : document(settingsDocument) {}

    const nlohmann::json &document;
    GatewaySettings settings;              ///< the values read so far
    std::vector<ValidationError> refused;  ///< the violations found so far

    /// Records a violation.
    /// @param path  JSON pointer to the field that has to be changed
    /// @param reason  for operators: what is wrong or what is required, continues after the path
    void refuse(std::string path, std::string reason);
    /// The section of this name; an empty object if the document has none.
    [[nodiscard]] const nlohmann::json &section(const char *name) const;
    /// Reads an address from a field that must exist. An invalid address is refused at `path`, and
    /// the result is empty.
    [[nodiscard]] std::optional<asio::ip::tcp::endpoint>
    readAddress(const nlohmann::json &object, const char *name, const std::string &path);
    /// Reads the field "zone" and returns the zone's number; 0 if the field is missing. An unknown
    /// zone is refused and gives 0.
    /// @param path  JSON pointer to `object`
    [[nodiscard]] int readZone(const nlohmann::json &object, const std::string &path);
};

/// Reads an optional field; `target` keeps its value if the field is missing.
template <class Value>
void readField(const nlohmann::json &object, const char *name, Value &target) {
    if (const auto field = object.find(name); field != object.end())
        target = field->get<Value>();
}
/// Reads an optional field in whole milliseconds.
void readField(const nlohmann::json &object, const char *name, Duration &target);

/// The name of an enum value in documents.
template <class Value>
struct EnumName {
    const char *text;
    Value value;
};
/// Reads an optional field. Unknown names don't occur, since the schema rejects them.
template <class Value, std::size_t Count>
void readEnum(const nlohmann::json &object, const char *name,
              const std::array<EnumName<Value>, Count> &names, Value &target) {
    const auto field = object.find(name);
    if (field == object.end())
        return;
    for (const auto &candidate : names)
        if (*field == candidate.text)
            target = candidate.value;
}

/// JSON pointer to an element of an array.
/// @param arrayPath  JSON pointer to the array
[[nodiscard]] std::string elementPath(const char *arrayPath, std::size_t index);

// Readers of the sections, in the order in which they must be called: later ones depend on values
// that earlier ones have read.
void readGateway(SettingsReader &reader);
void readLimits(SettingsReader &reader);
void readUpstream(SettingsReader &reader);
void readRoutes(SettingsReader &reader);
void readHeaders(SettingsReader &reader);
void readAllowed(SettingsReader &reader);
void readRules(SettingsReader &reader);
void readAccounts(SettingsReader &reader);
void readRelease(SettingsReader &reader);
void readControlPlane(SettingsReader &reader);
void readLogs(SettingsReader &reader);
void readSources(SettingsReader &reader);

}  // namespace deckcart::settings
