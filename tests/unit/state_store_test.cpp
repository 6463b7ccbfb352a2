// Tests that saved state is loaded again, and that unreadable state is ignored or reported.
#include <gtest/gtest.h>

#include <fstream>
#include <unistd.h>

#include "../../src/gateway/state_store.hpp"

namespace deckcart {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

class StateStoreTest : public testing::Test {
  protected:
    void TearDown() override { std::filesystem::remove_all(folder); }

    const std::filesystem::path folder =
        std::filesystem::path(testing::TempDir()) / ("state-folder-" + std::to_string(::getpid()));
    const StateStore store{folder / "state", Log()};
};

TEST_F(StateStoreTest, LoadsWhatWasSaved) {
    ASSERT_TRUE(store.createFolder());
    EXPECT_TRUE(store.loadSettings().document.empty());
    EXPECT_FALSE(store.loadEndpointList());
    EXPECT_FALSE(store.loadSources(0s));

    const json document = json::parse(R"({"gateway": {"id": "g2"}, "routes": [
        {"name": "all", "pathPrefix": "/", "effect": "retriable",
         "latencyObjectiveMs": 800, "routeTimeoutMs": 2500}]})");
    EXPECT_EQ(store.saveSettings(document), "");
    EXPECT_EQ(store.loadSettings().document, document);
    EXPECT_EQ(store.loadSettings().settings.id, "g2");

    ListedEndpoint endpoint;
    endpoint.id = "127.0.0.1:1";
    endpoint.age = 10s;
    EXPECT_EQ(store.saveEndpointList({endpoint}), "");
    const auto list = store.loadEndpointList();
    ASSERT_TRUE(list);
    ASSERT_EQ(list->endpoints.size(), 1u);
    EXPECT_EQ(list->endpoints[0].age, 10s + list->age);

    membership::SavedSource source;
    source.name = "nodes";
    source.readAt = 5s;
    EXPECT_EQ(store.saveSources({source}, 8s), "");
    const auto sources = store.loadSources(60s);
    ASSERT_TRUE(sources);
    ASSERT_EQ(sources->sources.size(), 1u);
    EXPECT_EQ(sources->sources[0].readAt, 57s - sources->age);
}

TEST_F(StateStoreTest, InvalidSettingsAreIgnored) {
    ASSERT_TRUE(store.createFolder());
    EXPECT_EQ(store.saveSettings(json{{"gateway", 1}}), "");
    EXPECT_TRUE(store.loadSettings().document.empty());
}

TEST_F(StateStoreTest, InvalidListThrowsWithTheFieldName) {
    ASSERT_TRUE(store.createFolder());
    std::ofstream(folder / "state" / "list.json")
        << R"({"format": 1, "savedMs": 0, "instances": [{"build": 1}]})";
    try {
        (void)store.loadEndpointList();
        FAIL() << "an invalid list was loaded";
    } catch (const ParseError &error) {
        EXPECT_EQ(error.location(), "id");
    }
}

TEST_F(StateStoreTest, WallClockSetBackDoesNotReduceAges) {
    ASSERT_TRUE(store.createFolder());
    std::ofstream(folder / "state" / "list.json")
        << R"({"format": 1, "savedMs": 99999999999999, "instances":
            [{"id": "127.0.0.1:1", "build": 1, "readiness": "live", "ageMs": 5}]})";
    const auto list = store.loadEndpointList();
    ASSERT_TRUE(list);
    EXPECT_EQ(list->age, 0ms);
    EXPECT_EQ(list->endpoints.at(0).age, 5ms);
}

TEST_F(StateStoreTest, WithoutFolderNothingIsSaved) {
    const StateStore none({}, Log());
    EXPECT_TRUE(none.createFolder());
    EXPECT_FALSE(none.keepsState());
    EXPECT_EQ(none.saveSettings(json::object()), "");
    EXPECT_FALSE(none.loadEndpointList());
}

TEST_F(StateStoreTest, FolderThatCannotBeCreatedIsAnError) {
    std::ofstream(folder) << "a file";
    EXPECT_FALSE(store.createFolder());
}

}  // namespace
}  // namespace deckcart
