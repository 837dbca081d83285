#include "tests/main/relay/relay_node_fixture.h"

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;

class RelayNodeTest : public RelayNodeFixture
{
protected:
    RelayNodeTest()
    {
        writeConfiguration();
        addServer("p1", "plain");
        addServer("p2", "plain");
        addServer("e1", "engines");
        addServer("e2", "engines");
        startNode();
    }
};

// Whole answers.

TEST_F(RelayNodeTest, PlainRequestsPassUnchangedInBothDirections)
{
    const std::string body(1000, 'b');
    const ReceivedResponse answer = sendRequest(request("r1", "POST", "/once/a%20b?x=1&y=%2F", body));
    EXPECT_EQ(answer.status, 200U);
    EXPECT_EQ(answer.body, standInBody("POST", "/once/a%20b?x=1&y=%2F", body));
    EXPECT_NE(answer.head.find("Request-Id: r1\r\n"), std::string::npos);
    EXPECT_NE(answer.head.find("Server-Seal: p"), std::string::npos);
    ASSERT_EQ(ledger_["r1"].size(), 1U);
    EXPECT_EQ(ledger_["r1"][0].tenant, "team-one");
    EXPECT_EQ(ledger_["r1"][0].unexpected, "");
    EXPECT_LE(std::stoi(ledger_["r1"][0].deadline), 2500);
    EXPECT_GT(std::stoi(ledger_["r1"][0].deadline), 2000);
}

TEST_F(RelayNodeTest, FieldsThatOnlyTheSystemMaySetAreDropped)
{
    sendRequest(request("r1",
                        "GET",
                        "/read/1",
                        "",
                        "Tenant: other\r\nHold: h\r\nPin-Ms: 5\r\nKv-From: a\r\nKv-Backup: b\r\nKv-Fetch: c\r\n"));
    ASSERT_EQ(ledger_["r1"].size(), 1U);
    EXPECT_EQ(ledger_["r1"][0].tenant, "team-one");
    EXPECT_EQ(ledger_["r1"][0].unexpected, "");
}

TEST_F(RelayNodeTest, ChunkedAndLongBodiesArriveWhole)
{
    const std::string chunked = "POST /once/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\n"
                                "Authorization: Bearer key-one\r\nTransfer-Encoding: chunked\r\n\r\n"
                                "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    EXPECT_EQ(sendRequest(chunked).body, standInBody("POST", "/once/1", "abcde"));
    const std::string body(1500000, 'z');
    EXPECT_EQ(sendRequest(request("r2", "POST", "/once/1", body)).body, standInBody("POST", "/once/1", body));
}

TEST_F(RelayNodeTest, AConnectionCarriesManyRequests)
{
    const std::shared_ptr<RawConnection> connection = connect();
    for (int number = 0; number < 20; ++number) {
        const std::string path = "/read/" + std::to_string(number);
        EXPECT_EQ(sendRequestOn(connection, request(std::to_string(number), "GET", path)).body,
                  standInBody("GET", path, ""));
    }
}

TEST_F(RelayNodeTest, RequestsThatAreSentTogetherAreAnsweredInOrder)
{
    const std::shared_ptr<RawConnection> connection = connect();
    connection->send(request("r1", "GET", "/read/1") + request("r2", "GET", "/read/2"));
    std::string bytes;
    ASSERT_TRUE(runUntil([&]() {
        bytes = connection->received();
        return takeResponse(bytes).bodyComplete && takeResponse(bytes).bodyComplete;
    }));
    bytes = connection->received();
    EXPECT_EQ(takeResponse(bytes).body, standInBody("GET", "/read/1", ""));
    EXPECT_EQ(takeResponse(bytes).body, standInBody("GET", "/read/2", ""));
}

TEST_F(RelayNodeTest, StreamsArriveEventByEvent)
{
    const std::shared_ptr<RawConnection> connection = connect();
    connection->send(request("r1", "POST", "/live/1", "prompt", "Stand-In: events=5 gap=40\r\n"));
    ASSERT_TRUE(runUntil([&]() { return connection->has(standInEvent("/live/1", "prompt", 1)); }));
    EXPECT_FALSE(connection->has(standInEvent("/live/1", "prompt", 4)));
    ASSERT_TRUE(runUntil([&]() { return connection->has("0\r\n\r\n"); }));
    std::string bytes = connection->received();
    EXPECT_EQ(takeResponse(bytes).body, standInEvents("/live/1", "prompt", 5));
}

// Broken answers.

TEST_F(RelayNodeTest, ABrokenResumableStreamArrivesWholeAndOnce)
{
    const ReceivedResponse answer =
        sendRequest(request("r1", "POST", "/live/1", "prompt", "Stand-In: events=8 gap=5 first cut=3\r\n"));
    EXPECT_TRUE(answer.bodyComplete);
    EXPECT_EQ(answer.body, standInEvents("/live/1", "prompt", 8));
    ASSERT_EQ(ledger_["r1"].size(), 2U);
    EXPECT_EQ(ledger_["r1"][1].lastEventId, 3U);
    EXPECT_NE(ledger_["r1"][0].server, ledger_["r1"][1].server);
}

TEST_F(RelayNodeTest, ABrokenStreamThatMayNotBeResumedNeverLooksWhole)
{
    const ReceivedResponse answer =
        sendRequest(request("r1", "POST", "/stream/1", "prompt", "Stand-In: events=8 gap=5 cut=3\r\n"));
    EXPECT_EQ(answer.status, 200U);
    EXPECT_FALSE(answer.bodyComplete);
    EXPECT_EQ(ledger_["r1"].size(), 1U);
}

TEST_F(RelayNodeTest, ABrokenAnswerToARepeatableRequestIsReplaced)
{
    for (const std::string fault : { "cut=0", "reset", "fail", "foreign", "junk" }) {
        const std::string id = "r-" + fault;
        const ReceivedResponse answer =
            sendRequest(request(id, "GET", "/read/1", "", "Stand-In: first " + fault + "\r\n"));
        EXPECT_EQ(answer.status, 200U) << fault;
        EXPECT_EQ(answer.body, standInBody("GET", "/read/1", "")) << fault;
        EXPECT_EQ(ledger_[id].size(), 2U) << fault;
    }
}

TEST_F(RelayNodeTest, WorkThatRunsOnceIsNeverSentTwiceAndNeverSaidNotToHaveRun)
{
    for (const std::string fault : { "cut=0", "reset", "foreign", "junk" }) {
        const std::string id = "r-" + fault;
        const ReceivedResponse answer =
            sendRequest(request(id, "POST", "/once/1", "pay", "Stand-In: " + fault + "\r\n"));
        EXPECT_EQ(answer.status, 502U) << fault;
        EXPECT_NE(answer.body.find("\"unknown\""), std::string::npos) << fault;
        EXPECT_EQ(ledger_[id].size(), 1U) << fault;
    }
}

TEST_F(RelayNodeTest, AServersOwnFailureIsPassedOnWithItsSeal)
{
    const ReceivedResponse answer = sendRequest(request("r1", "POST", "/once/1", "pay", "Stand-In: fail\r\n"));
    EXPECT_EQ(answer.status, 500U);
    EXPECT_EQ(answer.body, "failed\n");
    EXPECT_NE(answer.head.find("Server-Seal: p"), std::string::npos);
}

TEST_F(RelayNodeTest, ARefusalOfTheServerIsToldWithATimeToComeBack)
{
    const ReceivedResponse answer = sendRequest(request("r1", "POST", "/once/1", "pay", "Stand-In: full\r\n"));
    EXPECT_EQ(answer.status, 503U);
    EXPECT_NE(answer.head.find("Retry-After: 0."), std::string::npos) << answer.head;
    EXPECT_EQ(answer.head.find("Server-Seal"), std::string::npos);
    EXPECT_TRUE(ledger_["r1"].empty());
}

TEST_F(RelayNodeTest, ASecondAnswerNeverReachesTheNextRequest)
{
    for (int number = 0; number < 10; ++number) {
        const std::string path = "/read/" + std::to_string(number);
        const ReceivedResponse answer =
            sendRequest(request("r" + std::to_string(number), "GET", path, "", "Stand-In: extra\r\n"));
        EXPECT_EQ(answer.body, standInBody("GET", path, ""));
    }
}

TEST_F(RelayNodeTest, AnAnswerThatEndsWithItsConnectionIsWhole)
{
    const ReceivedResponse answer = sendRequest(request("r1", "GET", "/read/1", "", "Stand-In: unframed\r\n"));
    EXPECT_TRUE(answer.bodyComplete);
    EXPECT_EQ(answer.body, standInBody("GET", "/read/1", ""));
}

TEST_F(RelayNodeTest, AMuteServerIsLeftForAnother)
{
    const ReceivedResponse answer = sendRequest(request("r1", "GET", "/read/1", "", "Stand-In: first mute\r\n"));
    EXPECT_EQ(answer.status, 200U);
    EXPECT_EQ(ledger_["r1"].size(), 2U);
}

TEST_F(RelayNodeTest, TheDeadlineEndsWithAnAnswer)
{
    const ReceivedResponse answer = sendRequest(request("r1", "POST", "/once/1", "pay", "Stand-In: mute\r\n"));
    EXPECT_EQ(answer.status, 504U);
    EXPECT_EQ(ledger_["r1"].size(), 1U);
}

// Callers that leave.

TEST_F(RelayNodeTest, ALeavingCallersStreamIsCancelledAtTheServer)
{
    const std::shared_ptr<RawConnection> connection = connect();
    connection->send(request("r1", "POST", "/stream/1", "prompt", "Stand-In: events=1000 gap=20\r\n"));
    ASSERT_TRUE(runUntil([&]() { return connection->has("id: 2\n"); }));
    connection->close();
    EXPECT_TRUE(runUntil([&]() { return servers_[2]->running() + servers_[3]->running() == 0; }));
}

// What changes.

TEST_F(RelayNodeTest, ALeavingServerGetsNothingMore)
{
    registerServer(*servers_[0], "p1", "draining");
    runFor(milliseconds(250));
    for (int number = 0; number < 6; ++number) {
        const std::string id = "r" + std::to_string(number);
        sendRequest(request(id, "GET", "/read/1"));
        EXPECT_EQ(ledger_[id].at(0).server, "p2");
    }
}

TEST_F(RelayNodeTest, ARevokedKeyIsRefused)
{
    EXPECT_EQ(sendRequest(request("r1", "GET", "/read/1")).status, 200U);
    keys_ = "\"key-two\"";
    ++version_;
    writeConfiguration();
    runFor(milliseconds(250));
    EXPECT_EQ(sendRequest(request("r2", "GET", "/read/1")).status, 401U);
    EXPECT_TRUE(ledger_["r2"].empty());
}

TEST_F(RelayNodeTest, WithoutTheStoreKeysAreHonouredOnlyForTheirLifetime)
{
    for (const StoreFault fault : { StoreFault::Busy, StoreFault::Reset, StoreFault::Silent }) {
        store_.setFault(fault);
        EXPECT_EQ(sendRequest(request("r1", "GET", "/read/1")).status, 200U);
        runFor(milliseconds(2000));
        const ReceivedResponse refused = sendRequest(request("r2", "GET", "/read/1"));
        EXPECT_EQ(refused.status, 503U);
        EXPECT_NE(refused.body.find("configuration_outdated"), std::string::npos);
        EXPECT_TRUE(ledger_["r2"].empty());
        store_.setFault(StoreFault::None);
        runFor(milliseconds(1500));
        EXPECT_EQ(sendRequest(request("r3", "GET", "/read/1")).status, 200U);
    }
}

TEST_F(RelayNodeTest, WhatLeftWhileTheStoreWasAwayGetsNothingThreeSecondsAfterItsReturn)
{
    store_.setFault(StoreFault::Busy);
    runFor(milliseconds(2500));
    store_.remove("servers", "p1");
    store_.remove("servers", "p2");
    store_.setFault(StoreFault::None);
    runFor(milliseconds(3000));
    EXPECT_EQ(sendRequest(request("r1", "GET", "/read/1")).status, 503U);
    EXPECT_TRUE(ledger_["r1"].empty());
}

TEST_F(RelayNodeTest, JunkRowsAndConfigurationsChangeNothing)
{
    store_.put("servers", "junk-1", "no json");
    store_.put("servers", "junk-2", "{\"service\":7}");
    store_.put("servers", "junk-3", std::string("\xff\x00\x80", 3));
    store_.put("servers",
               "junk-4",
               "{\"service\":\"plain\",\"address\":\"127.0.0.1:1\",\"zone\":\"dc\",\"slots\":8,\"state\":\"odd\"}");
    store_.put("op", "config", "{\"version\":9,\"routes\":[{\"name\":\"x\"}]}");
    runFor(milliseconds(250));
    for (int number = 0; number < 8; ++number) {
        EXPECT_EQ(sendRequest(request("r" + std::to_string(number), "GET", "/read/1")).status, 200U);
    }
}

TEST_F(RelayNodeTest, AReusedAddressRunsNothingOfItsFormerServer)
{
    store_.put("servers", "p9", servers_[2]->registration());
    store_.remove("servers", "p1");
    store_.remove("servers", "p2");
    runFor(milliseconds(250));
    const ReceivedResponse answer = sendRequest(request("r1", "POST", "/once/1", "pay"));
    EXPECT_EQ(answer.status, 503U);
    EXPECT_TRUE(ledger_["r1"].empty());
}

TEST_F(RelayNodeTest, AStopFinishesWhatIsInFlight)
{
    const std::shared_ptr<RawConnection> connection = connect();
    connection->send(request("r1", "POST", "/stream/1", "prompt", "Stand-In: events=40 gap=20\r\n"));
    ASSERT_TRUE(runUntil([&]() { return connection->has("id: 2\n"); }));
    node_->stop();
    const ReceivedResponse late = sendRequest(request("r2", "GET", "/read/1"));
    EXPECT_EQ(late.status, 200U);
    EXPECT_NE(late.head.find("Connection: close"), std::string::npos);
    ASSERT_TRUE(runUntil([&]() { return stopped_; }));
    std::string bytes = connection->received();
    EXPECT_EQ(takeResponse(bytes).body, standInEvents("/stream/1", "prompt", 40));
}

} // namespace
} // namespace GeraniumLever
