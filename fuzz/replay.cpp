// Plays a fuzz target's corpus once, in CI: files of the folders that are named.
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <vector>

// The name is prescribed by libFuzzer. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *bytes, std::size_t size);

namespace {

void play(const std::filesystem::path &path) {
    std::ifstream file(path, std::ios::binary);
    const std::vector<char> bytes((std::istreambuf_iterator<char>(file)), {});
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
}

}  // namespace

int main(int argc, char **argv) {
    const std::vector<std::filesystem::path> folders(argv + 1, argv + argc);
    int played = 0;
    for (const auto &folder : folders) {
        for (const auto &entry : std::filesystem::directory_iterator(folder)) {
            play(entry.path());
            ++played;
        }
    }
    std::cout << played << " inputs played\n";
    return played > 0 ? 0 : 1;
}
