#include <gtest/gtest.h>

#include "servers/tickets/ticket_rows.h"
#include "tests/servers/tickets/ticket_cluster.h"

namespace GeraniumLever {
namespace {

using std::chrono::seconds;

/** Time within which an accepted ticket must be in force in every reachable data centre. */
constexpr Duration InForceLimit = seconds(5);
constexpr Duration VerdictLimit = seconds(9);

class TicketDistributionTest : public testing::Test
{
protected:
    TicketDistributionTest() { cluster_.run(seconds(5)); }

    ~TicketDistributionTest() override { EXPECT_EQ(cluster_.violation, ""); }

    const Result<TicketNumber> &awaitVerdict(std::uint64_t submission)
    {
        EXPECT_TRUE(cluster_.runUntil(VerdictLimit, [&] { return cluster_.verdict(submission) != nullptr; }));
        static const Result<TicketNumber> none = Error { ResultCode::Ok, "no verdict", std::nullopt };
        return cluster_.verdict(submission) == nullptr ? none : *cluster_.verdict(submission);
    }

    void accept(const std::string &node, std::uint64_t number, const std::string &version)
    {
        const Result<TicketNumber> &result =
            awaitVerdict(cluster_.submit(node, modelTicket(number, "ada", "m", version)));
        EXPECT_EQ(result, Result<TicketNumber>(TicketNumber(number)));
    }

    ResultCode resultCodeOf(const Result<TicketNumber> &result)
    {
        return succeeded(result) ? ResultCode::Ok : errorOf(result).code;
    }

    bool isInForceInTime(std::uint64_t number)
    {
        return cluster_.runUntil(InForceLimit, [&] { return cluster_.isInForceEverywhere(number); });
    }

    TicketCluster cluster_ { 3, 3, 1 };
};

TEST_F(TicketDistributionTest, AnAcceptedTicketIsInForceEverywhere)
{
    accept("a0", 1, "v1");
    EXPECT_TRUE(isInForceInTime(1));
    accept("b2", 4, "v2");
    EXPECT_TRUE(isInForceInTime(4));
    EXPECT_EQ(cluster_.tickets("c1").catalog()->models().find(ModelName("m"))->version, "v2");
    EXPECT_EQ(cluster_.tickets("c1").record(TicketNumber(4))->previous, TicketNumber(1));
}

TEST_F(TicketDistributionTest, ATicketSpreadsIfThePlatformFailsRightAfterAcceptance)
{
    const std::uint64_t submission = cluster_.submit("a1", modelTicket(1, "ada", "m", "v1"));
    ASSERT_TRUE(cluster_.runUntil(VerdictLimit, [&] { return cluster_.verdict(submission) != nullptr; }));
    for (const char *dataCenter : { "a", "b", "c" }) {
        cluster_.setPlatformReachable(dataCenter, false);
    }
    EXPECT_TRUE(isInForceInTime(1));
}

TEST_F(TicketDistributionTest, ATicketSpreadsIfTheAcceptingNodeDiesRightAfterAcceptance)
{
    awaitVerdict(cluster_.submit("a1", modelTicket(1, "ada", "m", "v1")));
    cluster_.kill("a1");
    EXPECT_TRUE(isInForceInTime(1));
}

TEST_F(TicketDistributionTest, ADataCenterWithoutPeersReadsTicketsFromThePlatform)
{
    cluster_.setLinkConnected("a", "c", false);
    cluster_.setLinkConnected("b", "c", false);
    cluster_.run(seconds(5));
    accept("a0", 1, "v1");
    EXPECT_TRUE(isInForceInTime(1));
}

TEST_F(TicketDistributionTest, ADataCenterWithoutPlatformReceivesTicketsFromPeers)
{
    cluster_.setPlatformReachable("c", false);
    cluster_.run(seconds(5));
    accept("a0", 1, "v1");
    EXPECT_TRUE(isInForceInTime(1));
    EXPECT_EQ(resultCodeOf(awaitVerdict(cluster_.submit("c0", modelTicket(2, "bob", "m", "v2")))),
              ResultCode::TicketStoreUnavailable);
    cluster_.healAll();
    cluster_.run(seconds(5));
    EXPECT_FALSE(cluster_.isInForceEverywhere(2));
}

TEST_F(TicketDistributionTest, AnIsolatedDataCenterKeepsItsCatalogAndCatchesUpLater)
{
    accept("a0", 1, "v1");
    EXPECT_TRUE(isInForceInTime(1));
    cluster_.setPlatformReachable("c", false);
    cluster_.setLinkConnected("a", "c", false);
    cluster_.setLinkConnected("b", "c", false);
    cluster_.run(seconds(5));
    accept("a0", 2, "v2");
    cluster_.run(seconds(30));
    EXPECT_EQ(cluster_.tickets("c0").standing().head, TicketNumber(1));
    EXPECT_EQ(cluster_.tickets("b0").standing().head, TicketNumber(2));
    cluster_.healAll();
    EXPECT_TRUE(isInForceInTime(2));
}

TEST_F(TicketDistributionTest, ALostAnswerIsResolvedByReadingBack)
{
    cluster_.transactionMode = TicketCluster::TransactionMode::AnswerLostAfterEffect;
    accept("a0", 1, "v1");
    EXPECT_TRUE(isInForceInTime(1));
}

TEST_F(TicketDistributionTest, ALostAnswerThatCannotBeReadBackIsResolvedByResending)
{
    cluster_.transactionMode = TicketCluster::TransactionMode::AnswerLostAfterEffect;
    const std::string text = modelTicket(1, "ada", "m", "v1");
    const std::uint64_t submission = cluster_.submit("a0", text);
    cluster_.run(std::chrono::milliseconds(200));
    cluster_.setPlatformReachable("a", false);
    EXPECT_EQ(resultCodeOf(awaitVerdict(submission)), ResultCode::TableAmbiguous);
    cluster_.healAll();
    EXPECT_EQ(awaitVerdict(cluster_.submit("b0", text)), Result<TicketNumber>(TicketNumber(1)));
    EXPECT_EQ(awaitVerdict(cluster_.submit("a0", text)), Result<TicketNumber>(TicketNumber(1)));
    EXPECT_TRUE(isInForceInTime(1));
}

TEST_F(TicketDistributionTest, ADelayedTransactionDoesNotTakeEffectTwice)
{
    cluster_.transactionMode = TicketCluster::TransactionMode::AnswerLostBeforeEffect;
    const std::uint64_t submission = cluster_.submit("a0", modelTicket(1, "ada", "m", "v1"));
    cluster_.run(std::chrono::milliseconds(500));
    cluster_.transactionMode = TicketCluster::TransactionMode::Normal;
    EXPECT_EQ(awaitVerdict(submission), Result<TicketNumber>(TicketNumber(1)));
    cluster_.run(seconds(5));
    EXPECT_EQ(cluster_.store.rows.at(HeadKey).version, 1U);
}

TEST_F(TicketDistributionTest, OfTwoTicketsWithTheSameNumberOneIsRefusedNamingWhatChanged)
{
    const std::uint64_t first = cluster_.submit("a0", modelTicket(1, "ada", "m", "v1"));
    const std::uint64_t second = cluster_.submit("b0", modelTicket(1, "bob", "m", "v2"));
    const bool isFirstAccepted = succeeded(awaitVerdict(first));
    const Result<TicketNumber> &loser = awaitVerdict(isFirstAccepted ? second : first);
    ASSERT_EQ(resultCodeOf(loser), ResultCode::TicketNumberTaken);
    EXPECT_TRUE(succeeded(awaitVerdict(isFirstAccepted ? first : second)));
    EXPECT_NE(errorOf(loser).message.find(isFirstAccepted ? "by ada" : "by bob"), std::string::npos);
    EXPECT_NE(errorOf(loser).message.find("model m"), std::string::npos);
    EXPECT_TRUE(isInForceInTime(1));
}

TEST_F(TicketDistributionTest, ATicketBasedOnAnOlderStateIsRefusedNamingWhatChanged)
{
    accept("a0", 1, "v1");
    accept("a0", 2, "v2");
    const Result<TicketNumber> &result = awaitVerdict(cluster_.submit("b1", modelTicket(3, "bob", "m", "v3", 1)));
    ASSERT_EQ(resultCodeOf(result), ResultCode::TicketConflict);
    EXPECT_EQ(errorOf(result).message, "model m was changed by ticket 2");
    EXPECT_TRUE(succeeded(awaitVerdict(cluster_.submit("b1", modelTicket(3, "bob", "n", "v1", 1)))));
    EXPECT_EQ(resultCodeOf(awaitVerdict(cluster_.submit("c1", modelTicket(2, "eve", "x", "v1")))),
              ResultCode::TicketNumberTaken);
    accept("c0", 9, "v9");
    const Result<TicketNumber> &late = awaitVerdict(cluster_.submit("c1", modelTicket(5, "eve", "m", "v1", 4)));
    ASSERT_EQ(resultCodeOf(late), ResultCode::TicketNumberNotAboveHead);
    EXPECT_NE(errorOf(late).message.find("model m was changed by ticket 9"), std::string::npos);
}

TEST_F(TicketDistributionTest, ANodeThatRestartsDuringAnOutageIsReadyOnlyAtTheHighestHead)
{
    accept("a0", 1, "v1");
    accept("a0", 2, "v2");
    EXPECT_TRUE(isInForceInTime(2));
    for (const char *dataCenter : { "a", "b", "c" }) {
        cluster_.setPlatformReachable(dataCenter, false);
    }
    cluster_.restart("c1");
    EXPECT_FALSE(cluster_.tickets("c1").standing().caughtUp);
    ASSERT_TRUE(cluster_.runUntil(seconds(10), [&] { return cluster_.tickets("c1").standing().caughtUp; }));
    EXPECT_EQ(cluster_.tickets("c1").standing().head, TicketNumber(2));
}

TEST_F(TicketDistributionTest, AnIsolatedNodeNeverCountsAsCaughtUp)
{
    accept("a0", 1, "v1");
    cluster_.setPlatformReachable("c", false);
    cluster_.setLinkConnected("a", "c", false);
    cluster_.setLinkConnected("b", "c", false);
    for (const char *node : { "c0", "c1", "c2" }) {
        cluster_.restart(node);
    }
    cluster_.run(seconds(60));
    EXPECT_FALSE(cluster_.tickets("c0").standing().caughtUp);
    EXPECT_GT(cluster_.decisions("ticket_not_caught_up"), 0U);
    cluster_.healAll();
    EXPECT_TRUE(cluster_.runUntil(seconds(10), [&] { return cluster_.tickets("c0").standing().caughtUp; }));
    EXPECT_EQ(cluster_.tickets("c0").standing().head, TicketNumber(1));
}

TEST_F(TicketDistributionTest, AStaleSnapshotIsIgnored)
{
    accept("a0", 1, "v1");
    EXPECT_TRUE(isInForceInTime(1));
    const TicketStatus then = cluster_.tickets("a0").standing();
    const Ticket old = ticketOfCatalog(*cluster_.tickets("a0").catalog());
    accept("a0", 2, "v2");
    EXPECT_TRUE(isInForceInTime(2));
    cluster_.deliver("b0", NodeName("a0"), Snapshot { then.head, then.epoch, canonicalText(old) });
    EXPECT_EQ(cluster_.tickets("b0").standing().head, TicketNumber(2));
}

TEST_F(TicketDistributionTest, NodesThatAllRestartAtOnceStartFromTheStoredSnapshot)
{
    for (std::uint64_t number = 100; number <= 700; number += 100) {
        accept("a0", number, "v" + std::to_string(number));
    }
    EXPECT_EQ(cluster_.store.objects.count(SnapshotObject), 1U);
    for (const std::string &node : cluster_.nodeNames()) {
        cluster_.restart(node);
    }
    EXPECT_TRUE(cluster_.runUntil(seconds(10), [&] { return cluster_.isInForceEverywhere(700); }));
    EXPECT_GT(cluster_.tickets("b0").counters().snapshots, 0U);
    const Result<TicketNumber> &result = awaitVerdict(cluster_.submit("b0", modelTicket(800, "bob", "m", "x", 400)));
    EXPECT_EQ(resultCodeOf(result), ResultCode::TicketConflict);
}

TEST_F(TicketDistributionTest, ATicketOfAnotherEpochIsNotAppliedAndIsLogged)
{
    accept("a0", 1, "v1");
    EXPECT_TRUE(isInForceInTime(1));
    TicketRecord foreign { TicketNumber(2), TicketNumber(1), StoreEpoch(77), modelTicket(2, "eve", "m", "bad") };
    cluster_.deliver("b0", NodeName("x"), TicketBatch { { foreign } });
    EXPECT_EQ(cluster_.tickets("b0").standing().head, TicketNumber(1));
    EXPECT_EQ(cluster_.tickets("b0").counters().epochMismatches, 1U);
    cluster_.store.rows.clear();
    EXPECT_EQ(resultCodeOf(awaitVerdict(cluster_.submit("a0", modelTicket(2, "ada", "m", "v2")))),
              ResultCode::TicketEpochMismatch);
    cluster_.store.execute(TableTransaction {
        OperationId(1),
        { TableWrite { TableWrite::Action::Put, HeadKey, encodeHead({ TicketNumber(9), StoreEpoch(77) }), {} } } });
    cluster_.run(seconds(5));
    EXPECT_EQ(cluster_.tickets("b0").standing().head, TicketNumber(1));
    EXPECT_GT(cluster_.decisions("ticket_epoch_mismatch"), 0U);
}

TEST_F(TicketDistributionTest, AMinorityDigestIsCountedAndDoesNotSpread)
{
    accept("a0", 1, "v1");
    EXPECT_TRUE(isInForceInTime(1));
    cluster_.run(seconds(2));
    const TicketStatus standing = cluster_.tickets("b0").standing();
    Heartbeat wrong;
    wrong.node = NodeName("c9");
    wrong.dataCenter = DataCenterName("c");
    wrong.ticketHead = standing.head;
    wrong.catalogDigest = standing.digest + 1;
    wrong.storeEpoch = standing.epoch;
    cluster_.deliver("b0", wrong.node, wrong);
    cluster_.run(seconds(2));
    EXPECT_EQ(cluster_.tickets("b0").counters().digestMismatches, 1U);
    EXPECT_EQ(cluster_.tickets("b0").standing().digest, standing.digest);
}

TEST_F(TicketDistributionTest, ANodeWhoseCatalogDiffersAdoptsThatOfTheMajority)
{
    accept("a0", 1, "v1");
    EXPECT_TRUE(isInForceInTime(1));
    // The node receives a wrong first ticket while it cannot reach the other nodes.
    cluster_.setPlatformReachable("c", false);
    cluster_.setLinkConnected("a", "c", false);
    cluster_.setLinkConnected("b", "c", false);
    cluster_.run(seconds(5));
    for (const char *node : { "c1", "c2" }) {
        cluster_.kill(node);
    }
    cluster_.restart("c0");
    const StoreEpoch epoch = cluster_.tickets("a0").standing().epoch;
    const TicketRecord wrong { TicketNumber(1), TicketNumber(), epoch, modelTicket(1, "eve", "m", "bad") };
    cluster_.deliver("c0", NodeName("x"), TicketBatch { { wrong } });
    EXPECT_EQ(cluster_.violation, "c0 has a catalog that differs from the chain at 1");
    cluster_.violation.clear();
    cluster_.healAll();
    cluster_.run(seconds(10));
    EXPECT_EQ(cluster_.tickets("c0").standing().digest, cluster_.tickets("a0").standing().digest);
    EXPECT_EQ(cluster_.tickets("c0").counters().repairs, 1U);
    EXPECT_GT(cluster_.tickets("c0").counters().digestMismatches, 0U);
}

TEST(TicketFleetTest, AFleetWithGatewaysDistributesATicketInTimeAlsoWithoutThePlatform)
{
    TicketCluster cluster(4, 10, 5);
    cluster.run(seconds(15));
    const std::uint64_t submission = cluster.submit("a4", modelTicket(1, "ada", "m", "v1"));
    ASSERT_TRUE(cluster.runUntil(VerdictLimit, [&] { return cluster.verdict(submission) != nullptr; }));
    ASSERT_TRUE(succeeded(*cluster.verdict(submission)));
    for (const char *dataCenter : { "a", "b", "c", "d" }) {
        cluster.setPlatformReachable(dataCenter, false);
    }
    EXPECT_TRUE(cluster.runUntil(InForceLimit, [&] { return cluster.isInForceEverywhere(1); }));
    cluster.setLinkConnected("a", "d", false);
    cluster.setLinkConnected("b", "d", false);
    cluster.run(seconds(20));
    cluster.setPlatformReachable("a", true);
    const std::uint64_t second = cluster.submit("a7", modelTicket(2, "ada", "m", "v2"));
    ASSERT_TRUE(cluster.runUntil(VerdictLimit, [&] { return cluster.verdict(second) != nullptr; }));
    ASSERT_TRUE(succeeded(*cluster.verdict(second)));
    EXPECT_TRUE(cluster.runUntil(InForceLimit, [&] { return cluster.isInForceEverywhere(2); }));
    EXPECT_EQ(cluster.violation, "");
}

TEST(TicketPairTest, TheTableServiceDecidesBetweenTwoNodesThatDisagree)
{
    TicketCluster cluster(2, 1, 3);
    cluster.run(seconds(5));
    cluster.submit("a0", modelTicket(1, "ada", "m", "v1"));
    ASSERT_TRUE(cluster.runUntil(seconds(5), [&] { return cluster.isInForceEverywhere(1); }));
    cluster.restart("b0");
    const StoreEpoch epoch = cluster.tickets("a0").standing().epoch;
    const TicketRecord wrong { TicketNumber(1), TicketNumber(), epoch, modelTicket(1, "eve", "m", "bad") };
    cluster.deliver("b0", NodeName("x"), TicketBatch { { wrong } });
    cluster.violation.clear();
    cluster.run(seconds(10));
    EXPECT_EQ(cluster.tickets("b0").catalog()->models().find(ModelName("m"))->version, "v1");
    EXPECT_EQ(cluster.tickets("a0").catalog()->models().find(ModelName("m"))->version, "v1");
    EXPECT_EQ(cluster.violation, "");
}

} // namespace
} // namespace GeraniumLever
