// Atomic replacement of small files: the new content is written to a temporary file in the same
// folder, synced and renamed over the old file, then the folder is synced. Used for state folders,
// ready files and records of runs.
#pragma once

#include <filesystem>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace deckcart {

/// What a written file survives.
enum class Durability {
    synced,    ///< a power loss: the file and its folder are synced
    notSynced  ///< a kill of the process only: nothing is synced
};

/// Replaces the file atomically, or creates it. Returns an empty string, or an error message with
/// the failed operation and the path. If writing or renaming fails, the old file is kept.
[[nodiscard]] std::string writeFileAtomically(const std::filesystem::path &path,
                                              const std::string &bytes, Durability durability);

/// Reads the whole file; empty if it can't be opened.
[[nodiscard]] std::optional<std::string> readFile(const std::filesystem::path &path);

/// The result of reading a snapshot file.
struct SnapshotResult {
    std::optional<nlohmann::json> document;  ///< empty if there is no file or it was rejected
    std::string error;                       ///< why the file was rejected; otherwise empty
};
/// Reads a snapshot, a JSON object with the field "format". A file that is damaged or has another
/// format than expected is renamed to PATH.bad: it is never misread, and can still be inspected.
/// @param format  the expected value of "format"
[[nodiscard]] SnapshotResult readSnapshot(const std::filesystem::path &path, int format);

}  // namespace deckcart
