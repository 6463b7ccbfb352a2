#include "state_store.hpp"

#include <algorithm>

#include "../base/snapshot.hpp"
#include "endpoint_documents.hpp"

namespace deckcart {
namespace {

using nlohmann::json;

constexpr const char *kSettingsFile = "settings.json";
constexpr const char *kListFile = "list.json";
constexpr const char *kSourcesFile = "sources.json";
// Files with another format number are not read. Increment a number when the layout of its file
// changes.
constexpr int kSettingsFormat = 1;
constexpr int kListFormat = 1;
constexpr int kSourcesFormat = 1;

/// Uses the wall clock, since the steady clock restarts with the machine.
std::int64_t wallMilliseconds() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// Never negative, so that a wall clock that was set back does not reduce ages.
std::chrono::milliseconds ageOf(const json &document) {
    const auto saved = document.at("savedMs").get<std::int64_t>();
    return std::chrono::milliseconds(std::max<std::int64_t>(0, wallMilliseconds() - saved));
}

}  // namespace

StateStore::StateStore(std::filesystem::path folderPath, Log target)
    : folder(std::move(folderPath)), log(std::move(target)) {}

bool StateStore::createFolder() const {
    if (!keepsState())
        return true;
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    if (error)
        log.warn("state", {{"folder", folder.string()}, {"fault", error.message()}});
    return !error;
}

std::optional<json> StateStore::readFile(const char *name, int format) const {
    if (!keepsState())
        return std::nullopt;
    auto snapshot = readSnapshot(folder / name, format);
    if (!snapshot.error.empty())
        log.warn("set-aside", {{"fault", snapshot.error}});
    return std::move(snapshot.document);
}

StoredSettings StateStore::loadSettings() const {
    StoredSettings stored;
    const auto snapshot = readFile(kSettingsFile, kSettingsFormat);
    if (!snapshot || !snapshot->contains("settings"))
        return stored;
    auto parsed = parseSettings(snapshot->at("settings"));
    if (parsed.settings) {
        stored.settings = std::move(*parsed.settings);
        stored.document = snapshot->at("settings");
    } else {
        log.warn("settings-refused",
                 {{"from", kSettingsFile}, {"refused", toJson(parsed.refused)}});
    }
    return stored;
}

std::string StateStore::saveSettings(const json &document) const {
    if (!keepsState())
        return {};
    const json snapshot{{"format", kSettingsFormat}, {"settings", document}};
    return writeFileAtomically(folder / kSettingsFile, snapshot.dump(2) + "\n", Durability::synced);
}

std::optional<StoredEndpointList> StateStore::loadEndpointList() const {
    const auto snapshot = readFile(kListFile, kListFormat);
    if (!snapshot)
        return std::nullopt;
    StoredEndpointList stored;
    stored.age = ageOf(*snapshot);
    for (const auto &document : snapshot->at("instances")) {
        ListedEndpoint endpoint = readListedEndpoint(document);
        if (endpoint.age)
            *endpoint.age += stored.age;
        stored.endpoints.push_back(std::move(endpoint));
    }
    return stored;
}

std::string StateStore::saveEndpointList(const std::vector<ListedEndpoint> &endpoints) const {
    const json snapshot{
        {"format", kListFormat}, {"savedMs", wallMilliseconds()}, {"instances", toJson(endpoints)}};
    return writeFileAtomically(folder / kListFile, snapshot.dump() + "\n", Durability::notSynced);
}

std::optional<StoredSources> StateStore::loadSources(TimePoint now) const {
    const auto snapshot = readFile(kSourcesFile, kSourcesFormat);
    if (!snapshot)
        return std::nullopt;
    StoredSources stored;
    stored.age = ageOf(*snapshot);
    stored.sources = readSavedSources(snapshot->at("sources"), now, stored.age);
    return stored;
}

std::string StateStore::saveSources(const std::vector<membership::SavedSource> &sources,
                                    TimePoint now) const {
    const json snapshot{{"format", kSourcesFormat},
                        {"savedMs", wallMilliseconds()},
                        {"sources", toJson(sources, now)}};
    return writeFileAtomically(folder / kSourcesFile, snapshot.dump() + "\n",
                               Durability::notSynced);
}

json toJson(const std::vector<ListedEndpoint> &endpoints) {
    json documents = json::array();
    for (const auto &endpoint : endpoints)
        documents.push_back(toJson(endpoint));
    return documents;
}

}  // namespace deckcart
