// Snapshot files: a reader gets the old or the new content, never a mixture or a damaged file.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <unistd.h>

#include "../../src/base/snapshot.hpp"

namespace deckcart {
namespace {

TEST(Snapshot, ReadsOnlyCompleteFilesOfTheExpectedFormat) {
    const auto folder =
        std::filesystem::path(testing::TempDir()) / ("snapshot-" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder);
    const auto path = folder / "one.json";
    EXPECT_FALSE(readSnapshot(path, 1).document);
    EXPECT_EQ(writeFileAtomically(path, R"({"format": 1, "n": 1})", Durability::synced), "");
    EXPECT_EQ(readSnapshot(path, 1).document->at("n"), 1);
    std::ofstream(path.string() + ".new")
        << R"({"format": 1, "n")";  // the process was killed during the next write
    EXPECT_EQ(readSnapshot(path, 1).document->at("n"), 1);
    EXPECT_NE(readSnapshot(path, 2).error, "");
    EXPECT_TRUE(std::filesystem::exists(path.string() + ".bad"));
    std::ofstream(path) << R"({"format": 1, "n")";
    EXPECT_NE(readSnapshot(path, 1).error, "");
    EXPECT_FALSE(readSnapshot(path, 1).document);
    EXPECT_NE(writeFileAtomically(folder / "no" / "one.json", "x", Durability::synced), "");
    std::filesystem::remove_all(folder);
}

class SnapshotFile : public testing::Test {
  protected:
    void SetUp() override { std::filesystem::create_directories(folder); }
    void TearDown() override { std::filesystem::remove_all(folder); }

    const std::filesystem::path folder =
        std::filesystem::path(testing::TempDir()) / ("snapshot-file-" + std::to_string(::getpid()));
    const std::filesystem::path path = folder / "one.json";
};

TEST_F(SnapshotFile, RejectedFileIsRenamedWithItsContent) {
    const std::string bytes = R"({"format": 7, "n": 1})";
    ASSERT_EQ(writeFileAtomically(path, bytes, Durability::notSynced), "");
    const auto snapshot = readSnapshot(path, 1);
    EXPECT_FALSE(snapshot.document);
    EXPECT_EQ(snapshot.error, path.string() + " has an unsupported format");
    EXPECT_FALSE(std::filesystem::exists(path));
    EXPECT_EQ(readFile(path.string() + ".bad"), bytes);
}

TEST_F(SnapshotFile, OnlyAJsonObjectIsAccepted) {
    for (const char *bytes : {"", "[]", "1", R"({"format": 1)"}) {
        std::ofstream(path) << bytes;
        EXPECT_EQ(readSnapshot(path, 1).error, path.string() + " is damaged") << bytes;
    }
}

TEST_F(SnapshotFile, FailedWriteNamesTheFileAndKeepsTheOldOne) {
    ASSERT_EQ(writeFileAtomically(path, "old", Durability::synced), "");
    std::filesystem::create_directory(path.string() + ".new");
    EXPECT_EQ(writeFileAtomically(path, "new", Durability::synced),
              "open " + path.string() + ".new: Is a directory");
    EXPECT_EQ(readFile(path), "old");
}

TEST_F(SnapshotFile, MissingFileIsNoError) {
    EXPECT_FALSE(readFile(path));
    const auto snapshot = readSnapshot(path, 1);
    EXPECT_FALSE(snapshot.document);
    EXPECT_EQ(snapshot.error, "");
}

}  // namespace
}  // namespace deckcart
