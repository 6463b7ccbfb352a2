// What the sections of the settings document share while they are read: the document, the values so
// far and what is refused. Internal to this folder.
#pragma once

#include <array>
#include <asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "gateway_settings.hpp"

namespace deckcart::settings {

/// One reading of a document that fits the schema: types and ranges of single fields are right.
class SettingsReader {
  public:
    explicit SettingsReader(const nlohmann::json &of) : document(of) {}

    const nlohmann::json &document;
    GatewaySettings settings;
    std::vector<Refusal> refused;

    /// @param path  JSON pointer to the field that has to give way
    void refuse(std::string path, std::string reason);
    /// The section of that name; an empty object if there is none.
    [[nodiscard]] const nlohmann::json &section(const char *name) const;
    /// The address at a field that is there; refused at `path` and empty if it is none.
    [[nodiscard]] std::optional<asio::ip::tcp::endpoint>
    address(const nlohmann::json &from, const char *name, const std::string &path);
    /// The number of the zone that `from` names; 0 if it names none, or one that is refused.
    /// @param path  JSON pointer to `from`
    [[nodiscard]] int zone(const nlohmann::json &from, const std::string &path);
};

/// Each reads a field if it is there; what is not there keeps its default.
template <class Value>
void readField(const nlohmann::json &from, const char *name, Value &into) {
    if (const auto field = from.find(name); field != from.end())
        into = field->get<Value>();
}
/// Documents hold whole milliseconds.
void readField(const nlohmann::json &from, const char *name, Duration &into);

/// A word of a document and what it stands for.
template <class Value>
struct Word {
    const char *text;
    Value value;
};
/// The schema has refused words that are not known.
template <class Value, std::size_t Count>
void readWord(const nlohmann::json &from, const char *name,
              const std::array<Word<Value>, Count> &words, Value &into) {
    const auto field = from.find(name);
    if (field == from.end())
        return;
    for (const auto &word : words)
        if (*field == word.text)
            into = word.value;
}

/// JSON pointer to an element of a list.
[[nodiscard]] std::string elementPath(const char *list, std::size_t index);

/// The sections in the order in which they are read: later ones rest on values of earlier ones.
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
