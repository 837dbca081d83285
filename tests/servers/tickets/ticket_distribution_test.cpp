#include <gtest/gtest.h>

#include "servers/tickets/ticket_rows.h"
#include "tests/servers/tickets/ticket_cluster.h"

namespace GeraniumLever {
namespace {

using std::chrono::seconds;

/** Time in which an accepted ticket must be in force in every data centre that can be reached. */
constexpr Duration InForceLimit = seconds(5);
constexpr Duration VerdictLimit = seconds(9);

class TicketDistributionTest : public testing::Test
{
protected:
    TicketDistributionTest() { cluster_.run(seconds(5)); }

    ~TicketDistributionTest() override { EXPECT_EQ(cluster_.violation, ""); }

    const Result<TicketNumber> &settled(std::uint64_t submission)
    {
        EXPECT_TRUE(cluster_.runUntil(VerdictLimit, [&] { return cluster_.verdict(submission) != nullptr; }));
        static const Result<TicketNumber> none = Error { ResultCode::Ok, "no verdict", std::nullopt };
        return cluster_.verdict(submission) == nullptr ? none : *cluster_.verdict(submission);
    }

    void accept(const std::string &node, std::uint64_t number, const std::string &version)
    {
        const Result<TicketNumber> &result = settled(cluster_.submit(node, modelTicket(number, "ada", "m", version)));
        EXPECT_EQ(result, Result<TicketNumber>(TicketNumber(number)));
    }

    ResultCode refusal(const Result<TicketNumber> &result)
    {
        return succeeded(result) ? ResultCode::Ok : errorOf(result).code;
    }

    bool inForceInTime(std::uint64_t number)
    {
        return cluster_.runUntil(InForceLimit, [&] { return cluster_.inForceEverywhere(number); });
    }

    TicketCluster cluster_ { 3, 3, 1 };
};

TEST_F(TicketDistributionTest, AnAcceptedTicketIsInForceEverywhere)
{
    accept("a0", 1, "v1");
    EXPECT_TRUE(inForceInTime(1));
    accept("b2", 4, "v2");
    EXPECT_TRUE(inForceInTime(4));
    EXPECT_EQ(cluster_.tickets("c1").catalog()->models().find(ModelName("m"))->version, "v2");
    EXPECT_EQ(cluster_.tickets("c1").record(TicketNumber(4))->previous, TicketNumber(1));
}

TEST_F(TicketDistributionTest, ThePlatformIsLostRightAfterAcceptance)
{
    const std::uint64_t submission = cluster_.submit("a1", modelTicket(1, "ada", "m", "v1"));
    ASSERT_TRUE(cluster_.runUntil(VerdictLimit, [&] { return cluster_.verdict(submission) != nullptr; }));
    for (const char *place : { "a", "b", "c" }) {
        cluster_.setPlatform(place, false);
    }
    EXPECT_TRUE(inForceInTime(1));
}

TEST_F(TicketDistributionTest, TheAcceptingNodeDiesRightAfterAcceptance)
{
    settled(cluster_.submit("a1", modelTicket(1, "ada", "m", "v1")));
    cluster_.kill("a1");
    EXPECT_TRUE(inForceInTime(1));
}

TEST_F(TicketDistributionTest, ADataCenterWithoutPeersLearnsFromThePlatform)
{
    cluster_.setLink("a", "c", false);
    cluster_.setLink("b", "c", false);
    cluster_.run(seconds(5));
    accept("a0", 1, "v1");
    EXPECT_TRUE(inForceInTime(1));
}

TEST_F(TicketDistributionTest, ADataCenterWithoutPlatformLearnsFromPeers)
{
    cluster_.setPlatform("c", false);
    cluster_.run(seconds(5));
    accept("a0", 1, "v1");
    EXPECT_TRUE(inForceInTime(1));
    EXPECT_EQ(refusal(settled(cluster_.submit("c0", modelTicket(2, "bob", "m", "v2")))),
              ResultCode::TicketStoreUnavailable);
    cluster_.healAll();
    cluster_.run(seconds(5));
    EXPECT_FALSE(cluster_.inForceEverywhere(2));
}

TEST_F(TicketDistributionTest, ADataCenterCutOffFromAllKeepsServingAndCatchesUp)
{
    accept("a0", 1, "v1");
    EXPECT_TRUE(inForceInTime(1));
    cluster_.setPlatform("c", false);
    cluster_.setLink("a", "c", false);
    cluster_.setLink("b", "c", false);
    cluster_.run(seconds(5));
    accept("a0", 2, "v2");
    cluster_.run(seconds(30));
    EXPECT_EQ(cluster_.tickets("c0").standing().head, TicketNumber(1));
    EXPECT_EQ(cluster_.tickets("b0").standing().head, TicketNumber(2));
    cluster_.healAll();
    EXPECT_TRUE(inForceInTime(2));
}

TEST_F(TicketDistributionTest, ALostAcceptAnswerIsSettledByReadingBack)
{
    cluster_.answers = TicketCluster::Answers::LostAfterEffect;
    accept("a0", 1, "v1");
    EXPECT_TRUE(inForceInTime(1));
}

TEST_F(TicketDistributionTest, ALostAnswerThatCannotBeReadBackIsSettledByResending)
{
    cluster_.answers = TicketCluster::Answers::LostAfterEffect;
    const std::string text = modelTicket(1, "ada", "m", "v1");
    const std::uint64_t submission = cluster_.submit("a0", text);
    cluster_.run(std::chrono::milliseconds(200));
    cluster_.setPlatform("a", false);
    EXPECT_EQ(refusal(settled(submission)), ResultCode::TableAmbiguous);
    cluster_.healAll();
    EXPECT_EQ(settled(cluster_.submit("b0", text)), Result<TicketNumber>(TicketNumber(1)));
    EXPECT_EQ(settled(cluster_.submit("a0", text)), Result<TicketNumber>(TicketNumber(1)));
    EXPECT_TRUE(inForceInTime(1));
}

TEST_F(TicketDistributionTest, AnEffectThatComesLateDoesNotHappenTwice)
{
    cluster_.answers = TicketCluster::Answers::LostBeforeEffect;
    const std::uint64_t submission = cluster_.submit("a0", modelTicket(1, "ada", "m", "v1"));
    cluster_.run(std::chrono::milliseconds(500));
    cluster_.answers = TicketCluster::Answers::Normal;
    EXPECT_EQ(settled(submission), Result<TicketNumber>(TicketNumber(1)));
    cluster_.run(seconds(5));
    EXPECT_EQ(cluster_.store.rows.at(HeadKey).version, 1U);
}

TEST_F(TicketDistributionTest, OfTwoOperatorsWithOneNumberOneWinsAndTheOtherLearnsWhatChanged)
{
    const std::uint64_t first = cluster_.submit("a0", modelTicket(1, "ada", "m", "v1"));
    const std::uint64_t second = cluster_.submit("b0", modelTicket(1, "bob", "m", "v2"));
    const bool firstWon = succeeded(settled(first));
    const Result<TicketNumber> &loser = settled(firstWon ? second : first);
    ASSERT_EQ(refusal(loser), ResultCode::TicketNumberTaken);
    EXPECT_TRUE(succeeded(settled(firstWon ? first : second)));
    EXPECT_NE(errorOf(loser).message.find(firstWon ? "by ada" : "by bob"), std::string::npos);
    EXPECT_NE(errorOf(loser).message.find("model m"), std::string::npos);
    EXPECT_TRUE(inForceInTime(1));
}

TEST_F(TicketDistributionTest, ATicketBasedOnAnOlderStateIsRefusedNamingWhatChanged)
{
    accept("a0", 1, "v1");
    accept("a0", 2, "v2");
    const Result<TicketNumber> &result = settled(cluster_.submit("b1", modelTicket(3, "bob", "m", "v3", 1)));
    ASSERT_EQ(refusal(result), ResultCode::TicketConflict);
    EXPECT_EQ(errorOf(result).message, "model m was changed by ticket 2");
    EXPECT_TRUE(succeeded(settled(cluster_.submit("b1", modelTicket(3, "bob", "n", "v1", 1)))));
    EXPECT_EQ(refusal(settled(cluster_.submit("c1", modelTicket(2, "eve", "x", "v1")))), ResultCode::TicketNumberTaken);
    accept("c0", 9, "v9");
    const Result<TicketNumber> &late = settled(cluster_.submit("c1", modelTicket(5, "eve", "m", "v1", 4)));
    ASSERT_EQ(refusal(late), ResultCode::TicketNumberNotAboveHead);
    EXPECT_NE(errorOf(late).message.find("model m was changed by ticket 9"), std::string::npos);
}

TEST_F(TicketDistributionTest, ANodeThatIsRestartedDuringAnOutageServesOnlyTheHighestHead)
{
    accept("a0", 1, "v1");
    accept("a0", 2, "v2");
    EXPECT_TRUE(inForceInTime(2));
    for (const char *place : { "a", "b", "c" }) {
        cluster_.setPlatform(place, false);
    }
    cluster_.restart("c1");
    EXPECT_FALSE(cluster_.tickets("c1").standing().caughtUp);
    ASSERT_TRUE(cluster_.runUntil(seconds(10), [&] { return cluster_.tickets("c1").standing().caughtUp; }));
    EXPECT_EQ(cluster_.tickets("c1").standing().head, TicketNumber(2));
}

TEST_F(TicketDistributionTest, ANodeThatReachesNobodyNeverCountsAsCaughtUp)
{
    accept("a0", 1, "v1");
    cluster_.setPlatform("c", false);
    cluster_.setLink("a", "c", false);
    cluster_.setLink("b", "c", false);
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

TEST_F(TicketDistributionTest, AStaleSnapshotReplacesNothing)
{
    accept("a0", 1, "v1");
    EXPECT_TRUE(inForceInTime(1));
    const TicketStatus then = cluster_.tickets("a0").standing();
    const Ticket old = ticketOfCatalog(*cluster_.tickets("a0").catalog());
    accept("a0", 2, "v2");
    EXPECT_TRUE(inForceInTime(2));
    cluster_.deliver("b0", NodeName("a0"), Snapshot { then.head, then.epoch, canonicalText(old) });
    EXPECT_EQ(cluster_.tickets("b0").standing().head, TicketNumber(2));
}

TEST_F(TicketDistributionTest, AllNodesReplacedAtOnceStartFromTheStoredSnapshot)
{
    for (std::uint64_t number = 100; number <= 700; number += 100) {
        accept("a0", number, "v" + std::to_string(number));
    }
    EXPECT_EQ(cluster_.store.objects.count(SnapshotObject), 1U);
    for (const std::string &node : cluster_.nodeNames()) {
        cluster_.restart(node);
    }
    EXPECT_TRUE(cluster_.runUntil(seconds(10), [&] { return cluster_.inForceEverywhere(700); }));
    EXPECT_GT(cluster_.tickets("b0").counters().snapshots, 0U);
    const Result<TicketNumber> &result = settled(cluster_.submit("b0", modelTicket(800, "bob", "m", "x", 400)));
    EXPECT_EQ(refusal(result), ResultCode::TicketConflict);
}

TEST_F(TicketDistributionTest, AForeignEpochIsNotAppliedAndIsLogged)
{
    accept("a0", 1, "v1");
    EXPECT_TRUE(inForceInTime(1));
    TicketRecord foreign { TicketNumber(2), TicketNumber(1), StoreEpoch(77), modelTicket(2, "eve", "m", "bad") };
    cluster_.deliver("b0", NodeName("x"), TicketBatch { { foreign } });
    EXPECT_EQ(cluster_.tickets("b0").standing().head, TicketNumber(1));
    EXPECT_EQ(cluster_.tickets("b0").counters().epochMismatches, 1U);
    cluster_.store.rows.clear();
    EXPECT_EQ(refusal(settled(cluster_.submit("a0", modelTicket(2, "ada", "m", "v2")))),
              ResultCode::TicketEpochMismatch);
    cluster_.store.execute(TableTransaction {
        OperationId(1),
        { TableWrite { TableWrite::Action::Put, HeadKey, encodeHead({ TicketNumber(9), StoreEpoch(77) }), {} } } });
    cluster_.run(seconds(5));
    EXPECT_EQ(cluster_.tickets("b0").standing().head, TicketNumber(1));
    EXPECT_GT(cluster_.decisions("ticket_epoch_mismatch"), 0U);
}

TEST_F(TicketDistributionTest, AnUnusualDigestIsCountedAndDoesNotSpread)
{
    accept("a0", 1, "v1");
    EXPECT_TRUE(inForceInTime(1));
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

TEST_F(TicketDistributionTest, ANodeWhoseCatalogDiffersTakesThatOfTheMajority)
{
    accept("a0", 1, "v1");
    EXPECT_TRUE(inForceInTime(1));
    // The node learns a wrong first ticket before the others reach it.
    cluster_.setPlatform("c", false);
    cluster_.setLink("a", "c", false);
    cluster_.setLink("b", "c", false);
    cluster_.run(seconds(5));
    for (const char *node : { "c1", "c2" }) {
        cluster_.kill(node);
    }
    cluster_.restart("c0");
    const StoreEpoch epoch = cluster_.tickets("a0").standing().epoch;
    const TicketRecord wrong { TicketNumber(1), TicketNumber(), epoch, modelTicket(1, "eve", "m", "bad") };
    cluster_.deliver("c0", NodeName("x"), TicketBatch { { wrong } });
    EXPECT_EQ(cluster_.violation, "c0 does not hold the chain at 1");
    cluster_.violation.clear();
    cluster_.healAll();
    cluster_.run(seconds(10));
    EXPECT_EQ(cluster_.tickets("c0").standing().digest, cluster_.tickets("a0").standing().digest);
    EXPECT_EQ(cluster_.tickets("c0").counters().repairs, 1U);
    EXPECT_GT(cluster_.tickets("c0").counters().digestMismatches, 0U);
}

TEST(TicketFleetTest, AFleetWithGatewaysHasATicketInForceInTimeAlsoWithoutThePlatform)
{
    TicketCluster cluster(4, 10, 5);
    cluster.run(seconds(15));
    const std::uint64_t submission = cluster.submit("a4", modelTicket(1, "ada", "m", "v1"));
    ASSERT_TRUE(cluster.runUntil(VerdictLimit, [&] { return cluster.verdict(submission) != nullptr; }));
    ASSERT_TRUE(succeeded(*cluster.verdict(submission)));
    for (const char *place : { "a", "b", "c", "d" }) {
        cluster.setPlatform(place, false);
    }
    EXPECT_TRUE(cluster.runUntil(InForceLimit, [&] { return cluster.inForceEverywhere(1); }));
    cluster.setLink("a", "d", false);
    cluster.setLink("b", "d", false);
    cluster.run(seconds(20));
    cluster.setPlatform("a", true);
    const std::uint64_t second = cluster.submit("a7", modelTicket(2, "ada", "m", "v2"));
    ASSERT_TRUE(cluster.runUntil(VerdictLimit, [&] { return cluster.verdict(second) != nullptr; }));
    ASSERT_TRUE(succeeded(*cluster.verdict(second)));
    EXPECT_TRUE(cluster.runUntil(InForceLimit, [&] { return cluster.inForceEverywhere(2); }));
    EXPECT_EQ(cluster.violation, "");
}

TEST(TicketPairTest, TwoNodesThatDisagreeAreSettledByTheTableService)
{
    TicketCluster cluster(2, 1, 3);
    cluster.run(seconds(5));
    cluster.submit("a0", modelTicket(1, "ada", "m", "v1"));
    ASSERT_TRUE(cluster.runUntil(seconds(5), [&] { return cluster.inForceEverywhere(1); }));
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
