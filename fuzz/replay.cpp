// Runs a fuzz target once on each file of a corpus, as a regression test in CI. The arguments are
// the folders of the corpus.
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <vector>

// libFuzzer requires this name. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *bytes, std::size_t size);

namespace {

void replayFile(const std::filesystem::path &path) {
    std::ifstream file(path, std::ios::binary);
    const std::vector<char> bytes((std::istreambuf_iterator<char>(file)), {});
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
}

}  // namespace

int main(int argc, char **argv) {
    const std::vector<std::filesystem::path> folders(argv + 1, argv + argc);
    int replayedCount = 0;
    for (const auto &folder : folders) {
        for (const auto &entry : std::filesystem::directory_iterator(folder)) {
            replayFile(entry.path());
            ++replayedCount;
        }
    }
    std::cout << replayedCount << " inputs replayed\n";
    return replayedCount > 0 ? 0 : 1;
}
