// Plays a fuzz target's corpus once, in CI: files of the folders that are named.
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <vector>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *bytes, std::size_t size);

int main(int argc, char **argv) {
    int played = 0;
    for (int k = 1; k < argc; ++k)
        for (const auto &file : std::filesystem::directory_iterator(argv[k])) {
            std::ifstream in(file.path(), std::ios::binary);
            const std::vector<char> bytes((std::istreambuf_iterator<char>(in)), {});
            LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t *>(bytes.data()),
                                   bytes.size());
            ++played;
        }
    std::cout << played << " inputs played\n";
    return played > 0 ? 0 : 1;
}
