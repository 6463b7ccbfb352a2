// Small files that are either the old one or the new one: written beside it, synced, renamed, the
// folder synced. Used for state folders, ready files and records of runs.
#pragma once

#include <filesystem>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace deckcart {

/// What a written file outlives.
enum class Durable {
    yes,       ///< a power loss
    atLeisure  ///< a kill of the process
};

/// Writes the file whole. Returns an empty text, or what failed with the path; the old file stands
/// then.
[[nodiscard]] std::string writeWhole(const std::filesystem::path &path, const std::string &bytes,
                                     Durable durability);

/// Empty where the file can't be read.
[[nodiscard]] std::optional<std::string> readWhole(const std::filesystem::path &path);

/// What stands in a snapshot file.
struct SnapshotRead {
    std::optional<nlohmann::json> document;  ///< empty: there is no file, or it was renamed
    std::string fault;                       ///< why it was renamed to PATH.bad; else empty
};
/// Reads {"format": N, ...}. A file that is damaged or of another format is renamed to PATH.bad, so
/// that it is never read as something else and can be looked at.
[[nodiscard]] SnapshotRead readSnapshot(const std::filesystem::path &path, int format);

}  // namespace deckcart
