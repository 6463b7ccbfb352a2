#include "snapshot.hpp"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace deckcart {
namespace {

struct Descriptor {
    int fd;
    ~Descriptor() {
        if (fd >= 0)
            ::close(fd);
    }
};

std::string failed(const char *what, const std::filesystem::path &path) {
    return std::string(what) + " " + path.string() + ": " + std::strerror(errno);
}

}  // namespace

std::string writeWhole(const std::filesystem::path &path, const std::string &bytes,
                       Durable durability) {
    const std::filesystem::path beside = path.string() + ".new";
    {
        const Descriptor file{
            ::open(beside.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600)};
        if (file.fd < 0)
            return failed("open", beside);
        for (std::size_t done = 0; done < bytes.size();) {
            const auto n = ::write(file.fd, bytes.data() + done, bytes.size() - done);
            if (n < 0 && errno == EINTR)
                continue;
            if (n <= 0)
                return failed("write", beside);
            done += std::size_t(n);
        }
        if (durability == Durable::yes && ::fsync(file.fd) != 0)
            return failed("sync", beside);
    }
    if (::rename(beside.c_str(), path.c_str()) != 0)
        return failed("rename", beside);
    if (durability == Durable::yes) {
        const Descriptor folder{
            ::open(path.parent_path().c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC)};
        if (folder.fd < 0 || ::fsync(folder.fd) != 0)
            return failed("sync", path.parent_path());
    }
    return {};
}

std::optional<std::string> readWhole(const std::filesystem::path &path) {
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return std::nullopt;
    std::stringstream bytes;
    bytes << file.rdbuf();
    return bytes.str();
}

SnapshotRead readSnapshot(const std::filesystem::path &path, int format) {
    SnapshotRead out;
    const auto bytes = readWhole(path);
    if (!bytes)
        return out;
    auto read = nlohmann::json::parse(*bytes, nullptr, false);
    if (read.is_discarded() || !read.is_object())
        out.fault = path.string() + " is damaged";
    else if (read.value("format", nlohmann::json{}) != format)
        out.fault = path.string() + " has another format";
    if (out.fault.empty()) {
        out.document = std::move(read);
        return out;
    }
    std::error_code ignored;
    std::filesystem::rename(path, path.string() + ".bad", ignored);
    return out;
}

}  // namespace deckcart
