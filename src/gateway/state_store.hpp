// The files of a gateway's state folder: settings.json, list.json and sources.json, each with its
// format number. Formats are stated here; tests/data/stored holds files that must stay readable.
#pragma once

#include <chrono>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "../base/log.hpp"
#include "../control_plane/documents.hpp"
#include "../membership/merge.hpp"
#include "../settings/gateway_settings.hpp"

namespace deckcart {

/// Settings as they were accepted: their values and the document that they were read from.
struct StoredSettings {
    GatewaySettings settings;
    nlohmann::json document = nlohmann::json::object();  ///< empty: none are in force
};

/// The control plane's list when the gateway has no sources of its own.
struct StoredEndpointList {
    std::vector<ListedEndpoint> endpoints;  ///< ages are as of now
    std::chrono::milliseconds age{};        ///< since it was saved, by the wall clock; not below 0
};

/// What each source of the list last said.
struct StoredSources {
    std::vector<membership::SavedSource> sources;  ///< times on the reader's clock
    std::chrono::milliseconds age{};               ///< as above
};

/// Reads and writes the state folder. A damaged file is renamed to NAME.bad and logged.
class StateStore {
  public:
    /// @param folder  empty: nothing is kept, and nothing is found
    StateStore(std::filesystem::path folder, Log log);

    [[nodiscard]] bool keeps() const { return !folder.empty(); }
    /// Makes the folder. False if it can't be made, which is logged.
    [[nodiscard]] bool open() const;

    /// Settings that do not fit this version are logged and count as none.
    [[nodiscard]] StoredSettings loadSettings() const;
    /// Whole and synced when it returns. Empty if it was written or nothing is kept; else what
    /// failed.
    [[nodiscard]] std::string saveSettings(const nlohmann::json &document) const;

    /// Empty if there is none. Throws std::exception where it is no such document.
    [[nodiscard]] std::optional<StoredEndpointList> loadEndpointList() const;
    /// Whole after a kill of the process, not after a power loss: the control plane has it too.
    [[nodiscard]] std::string saveEndpointList(const std::vector<ListedEndpoint> &endpoints) const;

    /// The same of the sources. @param now  on the clock that the times are to be on
    [[nodiscard]] std::optional<StoredSources> loadSources(TimePoint now) const;
    [[nodiscard]] std::string saveSources(const std::vector<membership::SavedSource> &sources,
                                          TimePoint now) const;

  private:
    [[nodiscard]] std::optional<nlohmann::json> read(const char *name, int format) const;

    std::filesystem::path folder;
    Log log;
};

/// The endpoints as list.json and the API hold them.
[[nodiscard]] nlohmann::json toJson(const std::vector<ListedEndpoint> &endpoints);

}  // namespace deckcart
