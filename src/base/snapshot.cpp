#include "snapshot.hpp"

#include <cerrno>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <string_view>
#include <system_error>
#include <unistd.h>

namespace deckcart {
namespace {

constexpr mode_t kOwnerOnly = 0600;  // snapshots hold addresses, which other users must not read

/// A file descriptor that is closed on destruction.
class FileDescriptor {
  public:
    FileDescriptor(const std::filesystem::path &path, int flags)
        : descriptor(::open(path.c_str(), flags | O_CLOEXEC, kOwnerOnly)) {}
    ~FileDescriptor() {
        if (isOpen())
            ::close(descriptor);
    }
    FileDescriptor(const FileDescriptor &) = delete;
    FileDescriptor &operator=(const FileDescriptor &) = delete;

    [[nodiscard]] bool isOpen() const { return descriptor >= 0; }
    [[nodiscard]] bool sync() const { return ::fsync(descriptor) == 0; }
    [[nodiscard]] bool write(std::string_view bytes) const {
        while (!bytes.empty()) {
            const auto written = ::write(descriptor, bytes.data(), bytes.size());
            if (written < 0 && errno == EINTR)
                continue;
            if (written <= 0)
                return false;
            bytes.remove_prefix(std::size_t(written));
        }
        return true;
    }

  private:
    int descriptor;
};

/// The error message for the system call that has just failed, read from errno.
std::string systemError(const char *what, const std::filesystem::path &path) {
    return std::string(what) + " " + path.string() + ": " + std::generic_category().message(errno);
}

std::string writeFile(const std::filesystem::path &path, const std::string &bytes,
                      Durability durability) {
    const FileDescriptor file(path, O_WRONLY | O_CREAT | O_TRUNC);
    if (!file.isOpen())
        return systemError("open", path);
    if (!file.write(bytes))
        return systemError("write", path);
    if (durability == Durability::synced && !file.sync())
        return systemError("sync", path);
    return {};
}

/// Makes a rename durable, which it is only after its folder is synced.
std::string syncFolder(const std::filesystem::path &path) {
    const FileDescriptor folder(path, O_RDONLY | O_DIRECTORY);
    if (!folder.isOpen() || !folder.sync())
        return systemError("sync", path);
    return {};
}

}  // namespace

std::string writeFileAtomically(const std::filesystem::path &path, const std::string &bytes,
                                Durability durability) {
    const std::filesystem::path temporaryPath = path.string() + ".new";
    if (auto error = writeFile(temporaryPath, bytes, durability); !error.empty())
        return error;
    if (::rename(temporaryPath.c_str(), path.c_str()) != 0)
        return systemError("rename", temporaryPath);
    return durability == Durability::synced ? syncFolder(path.parent_path()) : std::string{};
}

std::optional<std::string> readFile(const std::filesystem::path &path) {
    const std::ifstream file(path, std::ios::binary);
    if (!file)
        return std::nullopt;
    std::stringstream bytes;
    bytes << file.rdbuf();
    return bytes.str();
}

SnapshotResult readSnapshot(const std::filesystem::path &path, int format) {
    SnapshotResult snapshot;
    const auto bytes = readFile(path);
    if (!bytes)
        return snapshot;
    auto document = nlohmann::json::parse(*bytes, nullptr, false);
    if (document.is_discarded() || !document.is_object())
        snapshot.error = path.string() + " is damaged";
    else if (document.value("format", nlohmann::json{}) != format)
        snapshot.error = path.string() + " has an unsupported format";
    if (snapshot.error.empty()) {
        snapshot.document = std::move(document);
        return snapshot;
    }
    std::error_code ignored;  // the file is rejected even if it can't be renamed
    std::filesystem::rename(path, path.string() + ".bad", ignored);
    return snapshot;
}

}  // namespace deckcart
