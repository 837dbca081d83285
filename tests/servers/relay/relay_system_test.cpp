#include "tests/servers/relay/relay_fixture.h"

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class RelaySystemTest : public RelayFixture
{
};

// What a node may rely on.

TEST_F(RelaySystemTest, BeforeTheFirstConfigurationNothingIsDenied)
{
    const RequestId request = arrive("/read/1", "unknown");
    ASSERT_EQ(refusals(request).size(), 1U);
    EXPECT_EQ(httpStatusFor(refusals(request)[0].error.code), 503U);
    EXPECT_TRUE(refusals(request)[0].error.retryAfter.has_value());
}

TEST_F(RelaySystemTest, AKeyIsHonouredOnlyWithFreshKnowledge)
{
    learn();
    advance(seconds(5));
    EXPECT_EQ(dispatches(arrive("/read/1")).size(), 1U);
    advance(milliseconds(1));
    const RequestId late = arrive("/read/1");
    ASSERT_EQ(refusals(late).size(), 1U);
    EXPECT_EQ(refusals(late)[0].error.code, ResultCode::ConfigurationOutdated);
    const RequestId unknown = arrive("/read/1", "unknown");
    ASSERT_EQ(refusals(unknown).size(), 1U);
    EXPECT_EQ(httpStatusFor(refusals(unknown)[0].error.code), 503U);
}

TEST_F(RelaySystemTest, APeersKnowledgeIsDatedFromTheMomentThatItSurelyFollowed)
{
    learn();
    advance(seconds(4));
    const TimePoint echoed = clock_.now();
    PeerReport report;
    report.node = NodeName("node-3");
    report.incarnation = 1;
    report.sequence = 1;
    report.configuration = ConfigurationVersion(1);
    report.configurationAge = seconds(1);
    report.sentAfter = echoed;
    advance(seconds(1));
    system_.peerReportReceived(report, clock_.now());
    EXPECT_EQ(system_.configuration().age(clock_.now()), seconds(2));
    report.sequence = 2;
    report.configuration = ConfigurationVersion(2);
    report.sentAfter = clock_.now();
    system_.peerReportReceived(report, clock_.now());
    EXPECT_EQ(system_.configuration().age(clock_.now()), seconds(2)) << "another version proves nothing";
    report.sequence = 3;
    report.configuration = ConfigurationVersion(1);
    report.sentAfter = TimePoint();
    system_.peerReportReceived(report, clock_.now());
    EXPECT_EQ(system_.configuration().age(clock_.now()), seconds(2)) << "without an echo its time is unknown";
}

TEST_F(RelaySystemTest, OpenRoutesNeedNoFreshKnowledge)
{
    configuration_.routes[2].open = true;
    learn();
    advance(seconds(60));
    EXPECT_EQ(dispatches(arrive("/read/1", "")).size(), 1U);
}

TEST_F(RelaySystemTest, UnknownKeysAndPathsAreDenied)
{
    learn();
    EXPECT_EQ(refusals(arrive("/read/1", "unknown")).at(0).error.code, ResultCode::Unauthorized);
    EXPECT_EQ(refusals(arrive("/other/1")).at(0).error.code, ResultCode::UnknownPath);
}

TEST_F(RelaySystemTest, ATeamsTierGoesBeforeTheRoutesAndTheRoutesDecidesWithinIt)
{
    configuration_.teams[0].tier = 7;
    learn();
    const std::uint32_t lowLive = dispatches(arrive("/live/1")).at(0).tier;
    const std::uint32_t lowStream = dispatches(arrive("/stream/1")).at(0).tier;
    const std::uint32_t highLive = dispatches(arrive("/live/1", "key-two")).at(0).tier;
    const std::uint32_t highStream = dispatches(arrive("/stream/1", "key-two")).at(0).tier;
    EXPECT_LT(highLive, highStream);
    EXPECT_LT(highStream, lowLive);
    EXPECT_LT(lowLive, lowStream);
}

TEST_F(RelaySystemTest, TheTimeLeftIsTheShorterOfDeadlineAndTimeout)
{
    learn();
    EXPECT_EQ(dispatches(arrive("/read/1")).at(0).timeLeft, seconds(10));
}

TEST_F(RelaySystemTest, ALeavingUpstreamGetsNothing)
{
    upstreams_[2].leaving = true;
    learn();
    for (int count = 0; count < 4; ++count) {
        EXPECT_EQ(dispatches(arrive("/read/1")).at(0).upstream, UpstreamName("p2"));
    }
}

// At most once, and a true "not run".

TEST_F(RelaySystemTest, WorkThatRunsOnceIsNotSentAgainAfterItMayHaveRun)
{
    learn();
    const RequestId request = arrive("/once/1");
    EXPECT_TRUE(dispatches(request).at(0).freshConnection);
    fail(request);
    EXPECT_EQ(dispatches(request).size(), 1U);
    ASSERT_EQ(refusals(request).size(), 1U);
    EXPECT_EQ(httpStatusFor(refusals(request)[0].error.code), 502U);
    EXPECT_EQ(refusals(request)[0].outcome, Outcome::Unknown);
}

TEST_F(RelaySystemTest, WorkThatRunsOnceIsSentAgainIfItDidNotRun)
{
    learn();
    const RequestId refused = arrive("/once/1");
    answerNotRun(refused);
    ASSERT_EQ(dispatches(refused).size(), 2U);
    EXPECT_NE(dispatches(refused)[0].upstream, dispatches(refused)[1].upstream);
    const RequestId unreached = arrive("/once/1");
    fail(unreached, RelayFailure::Kind::NotConnected);
    EXPECT_EQ(dispatches(unreached).size(), 2U);
}

TEST_F(RelaySystemTest, NotRunIsSaidWithATimeToComeBack)
{
    learn();
    const RequestId request = arrive("/once/1");
    answerNotRun(request);
    answerNotRun(request);
    ASSERT_EQ(refusals(request).size(), 1U);
    EXPECT_EQ(httpStatusFor(refusals(request)[0].error.code), 503U);
    EXPECT_EQ(refusals(request)[0].outcome, Outcome::NotRun);
    EXPECT_TRUE(refusals(request)[0].error.retryAfter.has_value());
}

TEST_F(RelaySystemTest, AfterAnAttemptThatMayHaveRunNotRunIsNeverSaid)
{
    learn();
    const RequestId request = arrive("/read/1");
    fail(request);
    ASSERT_EQ(dispatches(request).size(), 2U);
    answerNotRun(request);
    ASSERT_EQ(refusals(request).size(), 1U);
    EXPECT_EQ(httpStatusFor(refusals(request)[0].error.code), 502U);
    EXPECT_EQ(refusals(request)[0].outcome, Outcome::Failed);
}

TEST_F(RelaySystemTest, TheTimeoutEndsWithAnAnswerAtOnce)
{
    learn();
    const RequestId request = arrive("/once/1");
    advance(milliseconds(9990));
    tick();
    EXPECT_TRUE(refusals(request).empty());
    advance(milliseconds(10));
    tick();
    ASSERT_EQ(refusals(request).size(), 1U);
    EXPECT_EQ(httpStatusFor(refusals(request)[0].error.code), 504U);
    EXPECT_TRUE(cancelled(dispatches(request)[0].attempt));
}

// Repeats.

TEST_F(RelaySystemTest, AFailedReadIsRepeatedElsewhere)
{
    learn();
    const RequestId request = arrive("/read/1");
    answer(request, 500);
    ASSERT_EQ(dispatches(request).size(), 2U);
    EXPECT_NE(dispatches(request)[0].upstream, dispatches(request)[1].upstream);
    answer(request);
    EXPECT_TRUE(accepted(request));
}

TEST_F(RelaySystemTest, TheLastAttemptsFailureIsPassedOn)
{
    learn();
    const RequestId request = arrive("/read/1");
    answer(request, 500);
    answer(request, 500);
    EXPECT_TRUE(accepted(request));
    EXPECT_TRUE(refusals(request).empty());
}

TEST_F(RelaySystemTest, ASilentUpstreamIsLeftForAnother)
{
    learn();
    const RequestId request = arrive("/read/1");
    advance(milliseconds(700));
    tick();
    ASSERT_EQ(dispatches(request).size(), 2U);
    EXPECT_TRUE(cancelled(dispatches(request)[0].attempt));
}

TEST_F(RelaySystemTest, WithoutBudgetNothingIsRepeated)
{
    learn();
    int repeated = 0;
    int asked = 0;
    for (int count = 0; count < 100; ++count) {
        const RequestId request = arrive("/read/1");
        answer(request, 500);
        ++asked;
        if (dispatches(request).size() == 2) {
            ++repeated;
            answer(request);
        }
        end(request);
    }
    EXPECT_GT(repeated, 5);
    EXPECT_LE(repeated, 0.2 * asked + 58.0 / 12.0);
}

// Streams.

TEST_F(RelaySystemTest, ABrokenStreamGoesOnElsewhere)
{
    learn();
    const RequestId request = arrive("/live/1");
    answer(request);
    fail(request);
    ASSERT_EQ(dispatches(request).size(), 2U);
    EXPECT_FALSE(dispatches(request)[0].resumes);
    EXPECT_TRUE(dispatches(request)[1].resumes);
    EXPECT_NE(dispatches(request)[0].upstream, dispatches(request)[1].upstream);
}

TEST_F(RelaySystemTest, AResumedStreamThatIsAnsweredWithAnErrorIsBroken)
{
    learn();
    const RequestId request = arrive("/live/1");
    answer(request);
    fail(request);
    answer(request, 500);
    EXPECT_TRUE(broken(request));
    EXPECT_TRUE(refusals(request).empty());
}

TEST_F(RelaySystemTest, AStreamThatMayNotBeResumedIsBroken)
{
    learn();
    const RequestId request = arrive("/stream/1");
    answer(request);
    fail(request);
    EXPECT_EQ(dispatches(request).size(), 1U);
    EXPECT_TRUE(broken(request));
}

TEST_F(RelaySystemTest, AStreamWithoutEventsGoesOnElsewhere)
{
    learn();
    const RequestId request = arrive("/live/1");
    answer(request);
    const AttemptId first = dispatches(request).back().attempt;
    advance(milliseconds(700));
    system_.progressed({ first }, clock_.now());
    advance(milliseconds(700));
    tick();
    EXPECT_EQ(dispatches(request).size(), 1U);
    advance(milliseconds(150));
    tick();
    EXPECT_EQ(dispatches(request).size(), 2U);
    EXPECT_TRUE(cancelled(first));
}

// Callers that leave.

TEST_F(RelaySystemTest, ALeavingCallersWorkIsCancelledUnlessItRunsOnce)
{
    learn();
    const RequestId read = arrive("/read/1");
    const RequestId once = arrive("/once/1");
    leave(read);
    leave(once);
    EXPECT_TRUE(cancelled(dispatches(read)[0].attempt));
    EXPECT_FALSE(cancelled(dispatches(once)[0].attempt));
    answerNotRun(once);
    EXPECT_EQ(dispatches(once).size(), 1U) << "nobody waits for the answer";
    EXPECT_EQ(system_.inFlight(), 0U);
}

// Waiting.

TEST_F(RelaySystemTest, RequestsWaitForASeatAndAreServedByTier)
{
    upstreams_ = { upstreamOf("e1", "engines", 2) };
    learn();
    std::vector<RequestId> running;
    while (true) {
        const RequestId request = arrive("/stream/1");
        if (dispatches(request).empty()) {
            break;
        }
        running.push_back(request);
    }
    const RequestId live = arrive("/live/1");
    EXPECT_TRUE(dispatches(live).empty());
    answer(running[0]);
    end(running[0]);
    EXPECT_EQ(dispatches(live).size(), 1U);
}

TEST_F(RelaySystemTest, AWaitThatLastsTooLongEndsWithARefusalAtOnce)
{
    upstreams_ = { upstreamOf("e1", "engines", 1) };
    learn();
    while (!dispatches(arrive("/stream/1")).empty()) { }
    const RequestId request = arrive("/stream/1");
    advance(milliseconds(200));
    tick();
    ASSERT_EQ(refusals(request).size(), 1U);
    EXPECT_EQ(refusals(request)[0].error.code, ResultCode::Shed);
    EXPECT_EQ(refusals(request)[0].outcome, Outcome::NotRun);
}

TEST_F(RelaySystemTest, WithoutUpstreamsTheAnswerComesAtOnce)
{
    upstreams_.clear();
    learn();
    const RequestId request = arrive("/stream/1");
    ASSERT_EQ(refusals(request).size(), 1U);
    EXPECT_EQ(refusals(request)[0].error.code, ResultCode::NoUpstream);
}

TEST_F(RelaySystemTest, AStoppingNodeRefusesWhatArrivesAndFinishesWhatItHas)
{
    learn();
    const RequestId before = arrive("/stream/1");
    system_.startDraining();
    const RequestId late = arrive("/stream/1");
    ASSERT_EQ(refusals(late).size(), 1U);
    EXPECT_EQ(refusals(late)[0].outcome, Outcome::NotRun);
    EXPECT_EQ(refusals(late)[0].error.code, ResultCode::NotReady);
    EXPECT_TRUE(refusals(late)[0].error.retryAfter.has_value());
    EXPECT_TRUE(dispatches(late).empty());
    answer(before);
    end(before);
    EXPECT_TRUE(accepted(before));
    EXPECT_EQ(system_.inFlight(), 0U);
}

} // namespace
} // namespace GeraniumLever
