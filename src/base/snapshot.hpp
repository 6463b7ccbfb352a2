// A small file that is either the old one or the new one: written beside it, synced, renamed, its
// folder synced.
#pragma once

#include <filesystem>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace deckcart {

enum class Durable {
    yes,
    atLeisure
};  // atLeisure: whole after a kill of the process, not after a power loss

// Empty if it was written; else what failed, with the path.
std::string writeWhole(const std::filesystem::path &path, const std::string &bytes,
                       Durable durability);

// Empty where it can't be read.
std::optional<std::string> readWhole(const std::filesystem::path &path);

struct SnapshotRead {
    std::optional<nlohmann::json> document;  // empty: there is none, or it was set aside
    std::string fault;                       // why it was set aside, as PATH.bad
};
// Reads {"format": N, ...}. One that is damaged or of another format is renamed and never read as
// something else.
SnapshotRead readSnapshot(const std::filesystem::path &path, int format);

}  // namespace deckcart
