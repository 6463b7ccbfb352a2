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

constexpr mode_t kOwnerOnly = 0600;  // state holds addresses that are nobody else's business

/// Closes its file at the end.
class Descriptor {
  public:
    Descriptor(const std::filesystem::path &path, int flags)
        : descriptor(::open(path.c_str(), flags | O_CLOEXEC, kOwnerOnly)) {}
    ~Descriptor() {
        if (isOpen())
            ::close(descriptor);
    }
    Descriptor(const Descriptor &) = delete;
    Descriptor &operator=(const Descriptor &) = delete;

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

/// Of the system call that has just failed.
std::string failed(const char *what, const std::filesystem::path &path) {
    return std::string(what) + " " + path.string() + ": " + std::generic_category().message(errno);
}

std::string writeFile(const std::filesystem::path &path, const std::string &bytes,
                      Durable durability) {
    const Descriptor file(path, O_WRONLY | O_CREAT | O_TRUNC);
    if (!file.isOpen())
        return failed("open", path);
    if (!file.write(bytes))
        return failed("write", path);
    if (durability == Durable::yes && !file.sync())
        return failed("sync", path);
    return {};
}

/// A rename is durable once its folder is synced.
std::string syncFolder(const std::filesystem::path &path) {
    const Descriptor folder(path, O_RDONLY | O_DIRECTORY);
    if (!folder.isOpen() || !folder.sync())
        return failed("sync", path);
    return {};
}

}  // namespace

std::string writeWhole(const std::filesystem::path &path, const std::string &bytes,
                       Durable durability) {
    const std::filesystem::path beside = path.string() + ".new";
    if (auto fault = writeFile(beside, bytes, durability); !fault.empty())
        return fault;
    if (::rename(beside.c_str(), path.c_str()) != 0)
        return failed("rename", beside);
    return durability == Durable::yes ? syncFolder(path.parent_path()) : std::string{};
}

std::optional<std::string> readWhole(const std::filesystem::path &path) {
    const std::ifstream file(path, std::ios::binary);
    if (!file)
        return std::nullopt;
    std::stringstream bytes;
    bytes << file.rdbuf();
    return bytes.str();
}

SnapshotRead readSnapshot(const std::filesystem::path &path, int format) {
    SnapshotRead snapshot;
    const auto bytes = readWhole(path);
    if (!bytes)
        return snapshot;
    auto document = nlohmann::json::parse(*bytes, nullptr, false);
    if (document.is_discarded() || !document.is_object())
        snapshot.fault = path.string() + " is damaged";
    else if (document.value("format", nlohmann::json{}) != format)
        snapshot.fault = path.string() + " has another format";
    if (snapshot.fault.empty()) {
        snapshot.document = std::move(document);
        return snapshot;
    }
    std::error_code ignored;  // where it can't be renamed it is refused all the same
    std::filesystem::rename(path, path.string() + ".bad", ignored);
    return snapshot;
}

}  // namespace deckcart
