#include "tests/drivers/http/raw_listener.h"
#include "tests/main/relay/relay_node_fixture.h"

namespace GeraniumLever {
namespace {

/** Several relays that find each other by the store's table. */
class RelayMembershipTest : public RelayNodeFixture
{
protected:
    RelayMembershipTest()
    {
        writeConfiguration();
        addServer("p1", "plain");
    }

    RelaySettings settingsOf(const std::string &name)
    {
        RelaySettings settings = settings_;
        settings.node = NodeName(name);
        settings.callerAddress = unusedAddress();
        settings.statusAddress = unusedAddress();
        settings.peerAddress = unusedAddress();
        return settings;
    }

    std::unique_ptr<RelayNode> start(const RelaySettings &settings)
    {
        auto node = std::make_unique<RelayNode>(settings, loop_.context(), log_, []() {});
        EXPECT_TRUE(succeeded(node->start()));
        EXPECT_TRUE(runUntil([&]() { return store_.has("relays", settings.node.text()); }));
        return node;
    }

    std::string unusedAddress() { return "127.0.0.1:" + std::to_string(unusedPort(loop_.context())); }
};

// Guards against a relay whose entry a late call has removed staying unlisted, so that others use its share of limits.
TEST_F(RelayMembershipTest, RelayIsListedAgainAfterALateRemoval)
{
    const std::unique_ptr<RelayNode> first = start(settingsOf("node-a"));
    const std::unique_ptr<RelayNode> second = start(settingsOf("node-b"));
    runFor(std::chrono::seconds(2));
    store_.remove("relays", "node-a");
    const std::unique_ptr<RelayNode> third = start(settingsOf("node-c"));
    EXPECT_TRUE(runUntil([&]() { return store_.has("relays", "node-a"); }));
}

// Guards against the stop of a process removing the entry that the node's next process has written.
TEST_F(RelayMembershipTest, StopOfAnEarlierProcessLeavesTheEntryOfTheNextOne)
{
    const std::unique_ptr<RelayNode> first = start(settingsOf("node-a"));
    const std::string entry = *store_.find("relays", "node-a");
    store_.put("relays", "node-a", entry.substr(0, entry.find("incarnation")) + "incarnation\":\"1\"}");
    first->stop();
    runFor(std::chrono::milliseconds(500));
    EXPECT_TRUE(store_.has("relays", "node-a"));
}

// Guards against stopped relays staying listed, so that limits are divided among too many.
TEST_F(RelayMembershipTest, StopRemovesTheOwnEntry)
{
    const std::unique_ptr<RelayNode> node = start(settingsOf("node-a"));
    node->stop();
    EXPECT_TRUE(runUntil([&]() { return !store_.has("relays", "node-a"); }));
}

} // namespace
} // namespace GeraniumLever
