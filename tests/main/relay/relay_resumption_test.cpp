/** Tests that a stream never has events of two software versions, with one node. */
#include <chrono>

#include "tests/drivers/http/raw_listener.h"
#include "tests/main/relay/relay_node_fixture.h"

namespace GeraniumLever {
namespace {

constexpr int Streams = 12;

class RelayResumptionTest : public RelayNodeFixture
{
protected:
    RelayResumptionTest()
    {
        writeConfiguration();
        addServer("e1", "engines", 32, "v1");
        addServer("e2", "engines", 32, "v1.1");
        addServer("e3", "engines", 32, "v1");
        addServer("e4", "engines", 32, "v1.1");
        startNode();
    }

    static std::string takeUp(const std::string &id, const std::string &begun, int lastEvent, const std::string &path)
    {
        return request(id,
                       "POST",
                       path,
                       "prompt",
                       "Last-Event-Id: " + std::to_string(lastEvent) + "\r\nResumes: " + begun
                           + "\r\nStand-In: events=8 gap=5\r\n");
    }

    /** Receives the first three events and disconnects. */
    void receivePart(const std::string &id, const std::string &path)
    {
        const std::shared_ptr<RawConnection> connection = connect();
        connection->send(request(id, "POST", path, "prompt", "Stand-In: events=8 gap=30\r\n"));
        ASSERT_TRUE(runUntil([&]() { return connection->has("id: 3\n"); }));
        connection->close();
    }
};

TEST_F(RelayResumptionTest, BrokenStreamNeverGoesOnAtAnotherVersion)
{
    for (int number = 0; number < Streams; ++number) {
        const std::string id = "r" + std::to_string(number);
        const std::string path = "/live/" + id;
        const ReceivedResponse response =
            sendRequest(request(id, "POST", path, "prompt", "Stand-In: events=8 gap=5 first cut=3\r\n"));
        EXPECT_EQ(response.body, standInEvents(path, "prompt", 8)) << id;
        ASSERT_EQ(ledger_[id].size(), 2U) << id;
        EXPECT_EQ(ledger_[id][0].version, ledger_[id][1].version) << id;
    }
}

TEST_F(RelayResumptionTest, StreamTakenUpByItsCallerNeverGoesOnAtAnotherVersion)
{
    for (int number = 0; number < Streams; ++number) {
        const std::string id = "r" + std::to_string(number);
        const std::string path = "/live/" + id;
        receivePart(id, path);
        const ReceivedResponse response = sendRequest(takeUp(id + "-2", id, 3, path));
        EXPECT_TRUE(response.bodyComplete) << id;
        EXPECT_EQ(standInEvents(path, "prompt", 3) + response.body, standInEvents(path, "prompt", 8)) << id;
        ASSERT_EQ(ledger_[id + "-2"].size(), 1U) << id;
        EXPECT_EQ(ledger_[id][0].version, ledger_[id + "-2"][0].version) << id;
    }
}

TEST_F(RelayResumptionTest, StreamOfUnknownOriginIsRejectedWhileTwoVersionsServe)
{
    const ReceivedResponse response = sendRequest(takeUp("r2", "r1", 3, "/live/1"));
    EXPECT_EQ(response.status, 503U);
    EXPECT_NE(response.head.find("Retry-After: "), std::string::npos);
    EXPECT_TRUE(ledger_["r2"].empty());
}

TEST_F(RelayResumptionTest, StreamWhoseVersionIsGoneIsRejected)
{
    receivePart("r1", "/live/1");
    const std::string version = ledger_["r1"][0].version;
    for (std::size_t index = 0; index < servers_.size(); ++index) {
        const bool isOld = (index % 2 == 0) == (version == "v1");
        if (isOld) {
            registerServer(*servers_[index], "e" + std::to_string(index + 1), "draining");
        }
    }
    runFor(std::chrono::milliseconds(400));
    const ReceivedResponse response = sendRequest(takeUp("r2", "r1", 3, "/live/1"));
    EXPECT_EQ(response.status, 503U);
    EXPECT_TRUE(ledger_["r2"].empty());
}

/** A node that knows nothing takes the place of another one while the versions of the servers change. */
class RelayRestartTest : public RelayNodeFixture
{
protected:
    RelayRestartTest()
    {
        writeConfiguration();
        addServer("old", "engines", 32, "v1");
        settings_.isFirstStart = true;
        startNode();
        EXPECT_TRUE(runUntil([this]() { return store_.find("versions", "engines").has_value(); }));
        receivePart();
    }

    /** Receives the first three events. */
    void receivePart()
    {
        const std::shared_ptr<RawConnection> connection = connect();
        connection->send(request("r1", "POST", "/live/1", "prompt", "Stand-In: events=8 gap=30\r\n"));
        ASSERT_TRUE(runUntil([&]() { return connection->has("id: 3\n"); }));
        connection->close();
    }

    void replaceVersion()
    {
        addServer("new", "engines", 32, "v2");
        store_.remove("servers", "old");
    }

    /** The node before stays out of reach: its handlers must not outlive it on the loop that both use. */
    void restart()
    {
        formerNode_ = std::move(node_);
        settings_.callerAddress = "127.0.0.1:" + std::to_string(unusedPort(loop_.context()));
        settings_.statusAddress = "127.0.0.1:" + std::to_string(unusedPort(loop_.context()));
        settings_.isFirstStart = false;
        startNode();
        runFor(std::chrono::milliseconds(300));
    }

    std::unique_ptr<RelayNode> formerNode_;

    ReceivedResponse takeUp(const std::string &id, const std::string &named)
    {
        const std::string name = named.empty() ? "" : "Resumes: " + named + "\r\n";
        return sendRequest(
            request(id, "POST", "/live/1", "prompt", "Last-Event-Id: 3\r\n" + name + "Stand-In: events=8 gap=5\r\n"));
    }
};

TEST_F(RelayRestartTest, StreamGoesOnAfterTheRestartIfTheVersionHasNotChanged)
{
    restart();
    for (const std::string named : { "", "r1" }) {
        const ReceivedResponse response = takeUp("again " + named, named);
        EXPECT_EQ(standInEvents("/live/1", "prompt", 3) + response.body, standInEvents("/live/1", "prompt", 8));
    }
}

TEST_F(RelayRestartTest, StreamNeverGoesOnAtTheVersionThatReplacedItsOwn)
{
    replaceVersion();
    restart();
    for (const std::string named : { "", "r1" }) {
        const std::string id = "again " + named;
        const ReceivedResponse response = takeUp(id, named);
        EXPECT_EQ(response.status, 503U);
        EXPECT_NE(response.head.find("Retry-After: "), std::string::npos);
        EXPECT_TRUE(ledger_[id].empty());
    }
    const ReceivedResponse anew =
        sendRequest(request("anew", "POST", "/live/1", "prompt", "Stand-In: events=8 gap=5\r\n"));
    EXPECT_EQ(anew.body, standInEvents("/live/1", "prompt", 8));
}

TEST_F(RelayRestartTest, StreamIsRejectedWhileTheNotesCannotBeRead)
{
    restart();
    store_.setFault(StoreFault::Silent);
    EXPECT_EQ(takeUp("again", "").status, 503U);
    store_.setFault(StoreFault::None);
    runFor(std::chrono::milliseconds(1500));
    EXPECT_EQ(takeUp("again later", "").status, 200U);
}

} // namespace
} // namespace GeraniumLever
