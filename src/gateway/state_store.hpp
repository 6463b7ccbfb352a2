// The files in a gateway's state folder: settings.json, list.json and sources.json, each with a
// format number. tests/data/stored holds files that must remain readable.
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

/// Accepted settings: their values and the document that they were read from.
struct StoredSettings {
    GatewaySettings settings;
    nlohmann::json document = nlohmann::json::object();  ///< empty if no settings are in force
};

/// The control plane's endpoint list of a gateway without sources of its own.
struct StoredEndpointList {
    std::vector<ListedEndpoint> endpoints;  ///< ages are relative to the time of loading
    std::chrono::milliseconds age{};  ///< wall clock time since the list was saved; never negative
};

/// The last data of each source of the endpoint list.
struct StoredSources {
    std::vector<membership::SavedSource> sources;  ///< times are on the clock of the reader
    std::chrono::milliseconds age{};  ///< wall clock time since they were saved; never negative
};

/// Reads and writes the state folder. A damaged file is logged and renamed to NAME.bad.
class StateStore {
  public:
    /// @param folder  empty: nothing is saved or loaded
    StateStore(std::filesystem::path folder, Log log);

    [[nodiscard]] bool keepsState() const { return !folder.empty(); }
    /// Creates the folder. Logs an error and returns false if that fails.
    [[nodiscard]] bool createFolder() const;

    /// Settings that this version does not accept are logged and ignored.
    [[nodiscard]] StoredSettings loadSettings() const;
    /// Atomic, and synced to disk when it returns. Returns the error; empty if the file was
    /// written or the store keeps no state.
    [[nodiscard]] std::string saveSettings(const nlohmann::json &document) const;

    /// Empty if there is no saved list. Throws std::exception if the file's content is invalid.
    [[nodiscard]] std::optional<StoredEndpointList> loadEndpointList() const;
    /// Atomic but not synced: survives a kill of the process, but not necessarily a power loss,
    /// after which the control plane provides the list again. Returns the error, as above.
    [[nodiscard]] std::string saveEndpointList(const std::vector<ListedEndpoint> &endpoints) const;

    /// Like loadEndpointList(), for the sources.
    /// @param now  on the clock that the times of the result refer to
    [[nodiscard]] std::optional<StoredSources> loadSources(TimePoint now) const;
    [[nodiscard]] std::string saveSources(const std::vector<membership::SavedSource> &sources,
                                          TimePoint now) const;

  private:
    [[nodiscard]] std::optional<nlohmann::json> readFile(const char *name, int format) const;

    std::filesystem::path folder;
    Log log;
};

/// The endpoints in the form used by list.json and the API.
[[nodiscard]] nlohmann::json toJson(const std::vector<ListedEndpoint> &endpoints);

}  // namespace deckcart
