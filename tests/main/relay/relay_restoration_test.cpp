#include "tests/drivers/http/raw_listener.h"
#include "tests/main/relay/relay_node_fixture.h"

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds KeyLifetime(800);

/** The store comes back from a copy and has lost what was written since. */
class RelayRestorationTest : public RelayNodeFixture
{
protected:
    RelayRestorationTest()
    {
        settings_.keyLifetime = KeyLifetime;
        keys_ = "\"key-one\",\"key-two\"";
        writeConfiguration();
    }

    unsigned statusWithKey(const std::string &key, const std::string &path = "/read/1")
    {
        std::string text = request("r" + std::to_string(++lastId_), "GET", path);
        text.replace(text.find("key-one"), 7, key);
        return sendRequest(text).status;
    }

    std::string serverOf(const std::string &path)
    {
        const std::string id = "r" + std::to_string(++lastId_);
        sendRequest(request(id, "POST", path, "prompt"));
        return ledger_[id].empty() ? "" : ledger_[id].back().server;
    }

    void waitForPolls() { runFor(milliseconds(300)); }

    int lastId_ = 0;
};

TEST_F(RelayRestorationTest, RemovedKeyIsNotHonouredWhileTheStoreHasLostItsRemoval)
{
    addServer("p1", "plain");
    startNode();
    ASSERT_EQ(statusWithKey("key-two"), 200U);
    store_.copy();
    store_.setFault(StoreFault::Reset);
    keys_ = "\"key-one\"";
    ++version_;
    writeConfiguration();
    const std::chrono::steady_clock::time_point removedAt = std::chrono::steady_clock::now();
    store_.restore();
    store_.setFault(StoreFault::None);
    while (std::chrono::steady_clock::now() < removedAt + milliseconds(2000)) {
        const bool mayRun = std::chrono::steady_clock::now() < removedAt + KeyLifetime;
        EXPECT_TRUE(statusWithKey("key-two") != 200U || mayRun);
        runFor(milliseconds(50));
    }
    writeConfiguration();
    waitForPolls();
    EXPECT_EQ(statusWithKey("key-two"), 401U);
    EXPECT_EQ(statusWithKey("key-one"), 200U);
}

TEST_F(RelayRestorationTest, NodeKeepsAConfigurationThatTheStoreHasLost)
{
    addServer("p1", "plain");
    startNode();
    store_.copy();
    keys_ = "\"key-one\",\"key-three\"";
    ++version_;
    writeConfiguration();
    waitForPolls();
    ASSERT_EQ(statusWithKey("key-three"), 200U);
    store_.restore();
    for (int step = 0; step < 20; ++step) {
        EXPECT_NE(statusWithKey("key-two"), 200U);
        EXPECT_NE(statusWithKey("key-three"), 401U);
        runFor(milliseconds(50));
    }
    writeConfiguration();
    waitForPolls();
    EXPECT_EQ(statusWithKey("key-three"), 200U);
}

TEST_F(RelayRestorationTest, VersionThatIsGivenOutAgainStandsForTheNewConfiguration)
{
    addServer("p1", "plain");
    startNode();
    store_.copy();
    keys_ = "\"key-one\",\"key-three\"";
    ++version_;
    writeConfiguration();
    waitForPolls();
    ASSERT_EQ(statusWithKey("key-three"), 200U);
    store_.restore();
    keys_ = "\"key-one\",\"key-four\"";
    writeConfiguration();
    waitForPolls();
    EXPECT_EQ(statusWithKey("key-four"), 200U);
    EXPECT_EQ(statusWithKey("key-three"), 401U);
}

TEST_F(RelayRestorationTest, ServersWhoseEntriesTheStoreHasLostGoOnServing)
{
    settings_.keyLifetime = std::chrono::seconds(30);
    addServer("p1", "plain");
    startNode();
    store_.remove("servers", "p1");
    store_.copy();
    addServer("p2", "plain");
    waitForPolls();
    ASSERT_EQ(serverOf("/once/1"), "p2");
    for (int restoration = 0; restoration < 2; ++restoration) {
        store_.restore();
        for (int step = 0; step < 10; ++step) {
            EXPECT_EQ(serverOf("/once/1"), "p2");
            runFor(milliseconds(100));
        }
    }
    registerServer(*servers_[1], "p2");
    runFor(milliseconds(2500));
    EXPECT_EQ(serverOf("/once/1"), "p2");
}

TEST_F(RelayRestorationTest, RestoredEntriesOfLeavingAndGoneServersBringNoRequestsBack)
{
    settings_.keyLifetime = std::chrono::seconds(30);
    for (const std::string name : { "p1", "p2", "p3" }) {
        addServer(name, "plain");
    }
    startNode();
    store_.copy();
    registerServer(*servers_[0], "p1", "draining");
    store_.remove("servers", "p2");
    waitForPolls();
    ASSERT_EQ(serverOf("/once/1"), "p3");
    for (int restoration = 0; restoration < 2; ++restoration) {
        store_.restore();
        for (int step = 0; step < 20; ++step) {
            EXPECT_EQ(serverOf("/once/1"), "p3");
            runFor(milliseconds(25));
        }
    }
    // It is alive: it writes its entry again.
    registerServer(*servers_[1], "p2");
    store_.remove("servers", "p3");
    waitForPolls();
    EXPECT_EQ(serverOf("/once/1"), "p2");
}

TEST_F(RelayRestorationTest, NodeWritesItsOwnLostEntryAgain)
{
    addServer("p1", "plain");
    store_.copy();
    settings_.peerAddress = "127.0.0.1:" + std::to_string(unusedPort(loop_.context()));
    startNode();
    ASSERT_TRUE(runUntil([&]() { return store_.has("relays", settings_.node.text()); }));
    for (int restoration = 0; restoration < 2; ++restoration) {
        store_.restore();
        EXPECT_FALSE(store_.has("relays", settings_.node.text()));
        EXPECT_TRUE(runUntil([&]() { return store_.has("relays", settings_.node.text()); }));
    }
}

} // namespace
} // namespace GeraniumLever
