#include "tests/servers/relay/relay_fixture.h"

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class RelaySystemTest : public RelayFixture
{
};

// Stale configuration.

TEST_F(RelaySystemTest, RequestBeforeFirstConfigurationIsToldToRetry)
{
    const RequestId request = arrive("/read/1", "unknown");
    ASSERT_EQ(refusals(request).size(), 1U);
    EXPECT_EQ(httpStatusFor(refusals(request)[0].error.code), 503U);
    EXPECT_TRUE(refusals(request)[0].error.retryAfter.has_value());
}

TEST_F(RelaySystemTest, KeyIsAcceptedOnlyWithFreshConfiguration)
{
    configure();
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

TEST_F(RelaySystemTest, PeerReportConfirmsConfigurationAsOfEchoedTime)
{
    configure();
    advance(seconds(4));
    const TimePoint echoedAt = clock_.now();
    PeerReport report;
    report.node = NodeName("node-3");
    report.incarnation = 1;
    report.sequence = 1;
    report.configuration = { ConfigurationVersion(1), 0 };
    report.configurationAge = seconds(1);
    report.sentAfter = echoedAt;
    advance(seconds(1));
    system_.peerReportReceived(report, clock_.now(), commands_);
    EXPECT_EQ(system_.fleet().configuration().age(clock_.now()), seconds(2));
    report.sequence = 2;
    report.configuration = { ConfigurationVersion(2), 0 };
    report.sentAfter = clock_.now();
    system_.peerReportReceived(report, clock_.now(), commands_);
    EXPECT_EQ(system_.fleet().configuration().age(clock_.now()), seconds(2))
        << "a report of another version confirms nothing";
    report.sequence = 3;
    report.configuration = { ConfigurationVersion(1), 0 };
    report.sentAfter = TimePoint();
    system_.peerReportReceived(report, clock_.now(), commands_);
    EXPECT_EQ(system_.fleet().configuration().age(clock_.now()), seconds(2))
        << "a report without an echoed time cannot be dated";
}

TEST_F(RelaySystemTest, NodeThatStartsAcceptsKeysOnceItIsKnownThatTheStoreWasNotJustRestored)
{
    storeState_ = { 2, 100 };
    configurationRow_ = 90;
    configure();
    EXPECT_EQ(refusals(arrive("/read/1")).at(0).error.code, ResultCode::ConfigurationOutdated);
    EXPECT_EQ(system_.reportFor(NodeName("node-3"), clock_.now()).configuration, ConfigurationId());
    PeerReport report;
    report.node = NodeName("node-3");
    report.sequence = 1;
    report.storeEra = { 2, seconds(1), 100 };
    system_.peerReportReceived(report, clock_.now(), commands_);
    EXPECT_EQ(refusals(arrive("/read/1")).at(0).error.code, ResultCode::ConfigurationOutdated);
    report.node = NodeName("node-4");
    report.storeEra = { 2, seconds(60), 100 };
    system_.peerReportReceived(report, clock_.now(), commands_);
    EXPECT_EQ(dispatches(arrive("/read/1")).size(), 1U);
}

TEST_F(RelaySystemTest, OpenRoutesNeedNoFreshConfiguration)
{
    configuration_.routes[2].open = true;
    configure();
    advance(seconds(60));
    EXPECT_EQ(dispatches(arrive("/read/1", "")).size(), 1U);
}

TEST_F(RelaySystemTest, UnknownKeysAndPathsAreRejected)
{
    configure();
    EXPECT_EQ(refusals(arrive("/read/1", "unknown")).at(0).error.code, ResultCode::Unauthorized);
    EXPECT_EQ(refusals(arrive("/other/1")).at(0).error.code, ResultCode::UnknownPath);
}

TEST_F(RelaySystemTest, TeamTierTakesPrecedenceOverRouteTier)
{
    configuration_.teams[0].tier = 7;
    configure();
    const std::uint32_t lowLive = dispatches(arrive("/live/1")).at(0).tier;
    const std::uint32_t lowStream = dispatches(arrive("/stream/1")).at(0).tier;
    const std::uint32_t highLive = dispatches(arrive("/live/1", "key-two")).at(0).tier;
    const std::uint32_t highStream = dispatches(arrive("/stream/1", "key-two")).at(0).tier;
    EXPECT_LT(highLive, highStream);
    EXPECT_LT(highStream, lowLive);
    EXPECT_LT(lowLive, lowStream);
}

TEST_F(RelaySystemTest, TimeLeftIsMinimumOfDeadlineAndTimeout)
{
    configure();
    EXPECT_EQ(dispatches(arrive("/read/1")).at(0).timeLeft, seconds(10));
}

TEST_F(RelaySystemTest, LeavingUpstreamGetsNoRequests)
{
    upstreams_[2].leaving = true;
    configure();
    for (int count = 0; count < 4; ++count) {
        EXPECT_EQ(dispatches(arrive("/read/1")).at(0).upstream, UpstreamName("p2"));
    }
}

TEST_F(RelaySystemTest, UpstreamThatStatesThatItLeavesGetsNoRequestsWhileItsOwnGoOn)
{
    configure();
    const RequestId request = arrive("/once/1");
    const UpstreamName left = dispatches(request).at(0).upstream;
    noticeLeaving(request);
    configure();
    for (int count = 0; count < 4; ++count) {
        EXPECT_NE(dispatches(arrive("/read/1")).at(0).upstream, left);
    }
    answer(request);
    EXPECT_TRUE(accepted(request));
}

TEST_F(RelaySystemTest, RepeatedAndResumedAttemptsAvoidAnUpstreamThatStatesThatItLeaves)
{
    upstreams_.push_back(upstreamOf("e3", "engines", 4));
    configure();
    const RequestId other = arrive("/live/1");
    const UpstreamName left = dispatches(other).at(0).upstream;
    noticeLeaving(other);
    for (int count = 0; count < 6; ++count) {
        const RequestId request = arrive("/live/1");
        answer(request);
        fail(request);
        for (const RelayDispatch &dispatch : dispatches(request)) {
            EXPECT_NE(dispatch.upstream, left);
        }
        end(request);
    }
}

TEST_F(RelaySystemTest, PausedUpstreamGetsNothingUntilThePauseEnds)
{
    configure();
    const RequestId first = arrive("/once/1");
    const UpstreamName paused = dispatches(first).at(0).upstream;
    answerPaused(first, seconds(2));
    EXPECT_EQ(dispatches(first).size(), 2U);
    for (int step = 0; step < 19; ++step) {
        advance(milliseconds(100));
        configure();
        tick();
        const RequestId request = arrive("/read/1");
        EXPECT_NE(dispatches(request).at(0).upstream, paused);
        answer(request);
        end(request);
    }
    advance(milliseconds(100));
    bool reached = false;
    for (int count = 0; count < 8; ++count) {
        reached = reached || dispatches(arrive("/read/1")).at(0).upstream == paused;
    }
    EXPECT_TRUE(reached);
}

TEST_F(RelaySystemTest, RequestIsRefusedAtOnceIfAllUpstreamsPauseForLongerThanItMayWait)
{
    configure();
    const RequestId first = arrive("/once/1");
    answerPaused(first, seconds(2));
    answerPaused(first, seconds(3));
    for (const RequestId &request : { first, arrive("/once/1"), arrive("/read/1") }) {
        ASSERT_EQ(refusals(request).size(), 1U);
        EXPECT_EQ(refusals(request)[0].outcome, Outcome::NotRun);
        EXPECT_GE(*refusals(request)[0].error.retryAfter, seconds(2));
        EXPECT_LE(*refusals(request)[0].error.retryAfter, milliseconds(2200));
    }
    // The pause ends within the time that a request may wait.
    advance(milliseconds(1950));
    const RequestId waiting = arrive("/read/1");
    EXPECT_TRUE(refusals(waiting).empty());
    advance(milliseconds(50));
    tick();
    EXPECT_EQ(dispatches(waiting).size(), 1U);
}

TEST_F(RelaySystemTest, WaitingRequestsAreRefusedOnceThePauseOfTheLastUpstreamOutlastsTheirWait)
{
    upstreams_[2].leaving = true;
    upstreams_[3].seats = 1;
    configure();
    const RequestId first = arrive("/once/1");
    const RequestId second = arrive("/once/1");
    const RequestId waiting = arrive("/once/1");
    EXPECT_TRUE(dispatches(waiting).empty());
    answerPaused(first, seconds(1));
    ASSERT_EQ(refusals(waiting).size(), 1U);
    EXPECT_EQ(refusals(waiting)[0].error.code, ResultCode::UpstreamPaused);
    answer(second);
    EXPECT_TRUE(accepted(second));
}

TEST_F(RelaySystemTest, CallerThatCannotOutwaitThePauseIsToldToComeBackWhileItStillWaits)
{
    configure();
    const RequestId request = arrive("/once/1");
    answerPaused(request, seconds(60));
    answerPaused(request, seconds(60));
    ASSERT_EQ(refusals(request).size(), 1U);
    EXPECT_LT(*refusals(request)[0].error.retryAfter, seconds(4));
}

// At-most-once execution and reporting of "not run".

TEST_F(RelaySystemTest, NonIdempotentRequestIsNotRetriedIfItMayHaveRun)
{
    configure();
    const RequestId request = arrive("/once/1");
    EXPECT_TRUE(dispatches(request).at(0).freshConnection);
    fail(request);
    EXPECT_EQ(dispatches(request).size(), 1U);
    ASSERT_EQ(refusals(request).size(), 1U);
    EXPECT_EQ(httpStatusFor(refusals(request)[0].error.code), 502U);
    EXPECT_EQ(refusals(request)[0].outcome, Outcome::Unknown);
}

TEST_F(RelaySystemTest, NonIdempotentRequestIsRetriedIfItDidNotRun)
{
    configure();
    const RequestId refused = arrive("/once/1");
    answerNotRun(refused);
    ASSERT_EQ(dispatches(refused).size(), 2U);
    EXPECT_NE(dispatches(refused)[0].upstream, dispatches(refused)[1].upstream);
    const RequestId unreached = arrive("/once/1");
    fail(unreached, RelayFailure::Kind::NotConnected);
    EXPECT_EQ(dispatches(unreached).size(), 2U);
}

TEST_F(RelaySystemTest, NotRunResponseHasRetryAfter)
{
    configure();
    const RequestId request = arrive("/once/1");
    answerNotRun(request);
    answerNotRun(request);
    ASSERT_EQ(refusals(request).size(), 1U);
    EXPECT_EQ(httpStatusFor(refusals(request)[0].error.code), 503U);
    EXPECT_EQ(refusals(request)[0].outcome, Outcome::NotRun);
    EXPECT_TRUE(refusals(request)[0].error.retryAfter.has_value());
}

TEST_F(RelaySystemTest, NotRunIsNotReportedIfAnAttemptMayHaveRun)
{
    configure();
    const RequestId request = arrive("/read/1");
    fail(request);
    ASSERT_EQ(dispatches(request).size(), 2U);
    answerNotRun(request);
    ASSERT_EQ(refusals(request).size(), 1U);
    EXPECT_EQ(httpStatusFor(refusals(request)[0].error.code), 502U);
    EXPECT_EQ(refusals(request)[0].outcome, Outcome::Failed);
}

TEST_F(RelaySystemTest, TimeoutIsAnsweredImmediately)
{
    configure();
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

// Retries.

TEST_F(RelaySystemTest, FailedReadIsRetriedAtAnotherUpstream)
{
    configure();
    const RequestId request = arrive("/read/1");
    answer(request, 500);
    ASSERT_EQ(dispatches(request).size(), 2U);
    EXPECT_NE(dispatches(request)[0].upstream, dispatches(request)[1].upstream);
    answer(request);
    EXPECT_TRUE(accepted(request));
}

TEST_F(RelaySystemTest, FailureOfLastAttemptIsForwarded)
{
    configure();
    const RequestId request = arrive("/read/1");
    answer(request, 500);
    answer(request, 500);
    EXPECT_TRUE(accepted(request));
    EXPECT_TRUE(refusals(request).empty());
}

TEST_F(RelaySystemTest, UnresponsiveUpstreamIsReplaced)
{
    configure();
    const RequestId request = arrive("/read/1");
    advance(milliseconds(700));
    tick();
    ASSERT_EQ(dispatches(request).size(), 2U);
    answer(request);
    EXPECT_TRUE(cancelled(dispatches(request)[0].attempt));
}

TEST_F(RelaySystemTest, RetriesAreLimitedByBudget)
{
    configure();
    int retried = 0;
    int sent = 0;
    for (int count = 0; count < 100; ++count) {
        const RequestId request = arrive("/read/1");
        answer(request, 500);
        ++sent;
        if (dispatches(request).size() == 2) {
            ++retried;
            answer(request);
        }
        end(request);
    }
    EXPECT_GT(retried, 5);
    EXPECT_LE(retried, 0.2 * sent + 58.0 / 12.0);
}

TEST_F(RelaySystemTest, FailureOfAnUpstreamIsForwardedWhenNoRetryIsLeft)
{
    configure();
    int forwarded = 0;
    for (int count = 0; count < 100; ++count) {
        const RequestId request = arrive("/read/1");
        answer(request, 500);
        EXPECT_TRUE(refusals(request).empty());
        forwarded += dispatches(request).size() == 1 && accepted(request) ? 1 : 0;
        end(request);
    }
    EXPECT_GT(forwarded, 50);
}

// Streams.

TEST_F(RelaySystemTest, BrokenStreamIsResumedAtAnotherUpstream)
{
    configure();
    const RequestId request = arrive("/live/1");
    answer(request);
    fail(request);
    ASSERT_EQ(dispatches(request).size(), 2U);
    EXPECT_FALSE(dispatches(request)[0].resumes);
    EXPECT_TRUE(dispatches(request)[1].resumes);
    EXPECT_NE(dispatches(request)[0].upstream, dispatches(request)[1].upstream);
}

TEST_F(RelaySystemTest, ResumedStreamIsAbortedOnErrorResponse)
{
    configure();
    const RequestId request = arrive("/live/1");
    answer(request);
    fail(request);
    answer(request, 500);
    EXPECT_TRUE(broken(request));
    EXPECT_TRUE(refusals(request).empty());
}

TEST_F(RelaySystemTest, NonResumableStreamIsAbortedOnFailure)
{
    configure();
    const RequestId request = arrive("/stream/1");
    answer(request);
    fail(request);
    EXPECT_EQ(dispatches(request).size(), 1U);
    EXPECT_TRUE(broken(request));
}

TEST_F(RelaySystemTest, BrokenStreamIsAbortedIfItsVersionHasNoOtherUpstream)
{
    upstreams_[0].version = "v1";
    upstreams_[1].version = "v2";
    configure();
    const RequestId request = arrive("/live/1");
    answer(request);
    fail(request);
    EXPECT_EQ(dispatches(request).size(), 1U);
    EXPECT_TRUE(broken(request));
}

TEST_F(RelaySystemTest, BrokenStreamWaitsForItsVersionInsteadOfTakingAnother)
{
    upstreams_[0].version = upstreams_[1].version = "v1";
    upstreams_[0].seats = upstreams_[1].seats = 1;
    upstreams_.push_back(upstreamOf("e3", "engines", 8));
    upstreams_.back().version = "v2";
    configure();
    std::map<UpstreamName, std::vector<RequestId>> streams;
    for (int count = 0; count < 10; ++count) {
        const RequestId request = arrive("/live/1");
        ASSERT_EQ(dispatches(request).size(), 1U);
        answer(request);
        streams[dispatches(request)[0].upstream].push_back(request);
    }
    const UpstreamName first("e1");
    const UpstreamName second("e2");
    ASSERT_EQ(streams[second].size(), 2U);
    const RequestId request = streams[first].front();
    fail(request);
    EXPECT_EQ(dispatches(request).size(), 1U);
    end(streams[second].front());
    ASSERT_EQ(dispatches(request).size(), 2U);
    EXPECT_EQ(dispatches(request)[1].upstream, second);
}

TEST_F(RelaySystemTest, RequestBeforeItsFirstEventIsRepeatedAtAnyVersion)
{
    upstreams_[0].version = "v1";
    upstreams_[1].version = "v2";
    configure();
    const RequestId request = arrive("/live/1");
    fail(request);
    EXPECT_EQ(dispatches(request).size(), 2U);
}

TEST_F(RelaySystemTest, ResponseWithoutEventsIsNeverJoinedWithAnother)
{
    configure();
    const RequestId request = arrive("/live/1");
    RelayResponseHead head;
    head.attempt = dispatches(request).back().attempt;
    head.status = 200;
    system_.headArrived(head, clock_.now(), commands_);
    fail(request);
    EXPECT_EQ(dispatches(request).size(), 1U);
    EXPECT_TRUE(broken(request));
}

TEST_F(RelaySystemTest, StalledStreamIsResumedAtAnotherUpstream)
{
    configure();
    const RequestId request = arrive("/live/1");
    answer(request);
    const AttemptId first = dispatches(request).back().attempt;
    advance(milliseconds(700));
    system_.progressed({ first }, clock_.now(), commands_);
    advance(milliseconds(700));
    tick();
    EXPECT_EQ(dispatches(request).size(), 1U);
    advance(milliseconds(150));
    tick();
    EXPECT_EQ(dispatches(request).size(), 2U);
    answer(request);
    EXPECT_TRUE(cancelled(first));
}

// Callers that disconnect.

TEST_F(RelaySystemTest, DisconnectCancelsOnlyRetryableRequests)
{
    configure();
    const RequestId read = arrive("/read/1");
    const RequestId once = arrive("/once/1");
    disconnect(read);
    disconnect(once);
    EXPECT_TRUE(cancelled(dispatches(read)[0].attempt));
    EXPECT_FALSE(cancelled(dispatches(once)[0].attempt));
    answerNotRun(once);
    EXPECT_EQ(dispatches(once).size(), 1U) << "no retry for a caller that has disconnected";
    EXPECT_EQ(system_.inFlight(), 0U);
}

// Waiting for capacity.

TEST_F(RelaySystemTest, WaitingRequestsAreServedByTier)
{
    upstreams_ = { upstreamOf("e1", "engines", 2) };
    configure();
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

TEST_F(RelaySystemTest, WaitTimeoutRejectsRequestImmediately)
{
    upstreams_ = { upstreamOf("e1", "engines", 1) };
    configure();
    while (!dispatches(arrive("/stream/1")).empty()) { }
    const RequestId request = arrive("/stream/1");
    advance(milliseconds(200));
    tick();
    ASSERT_EQ(refusals(request).size(), 1U);
    EXPECT_EQ(refusals(request)[0].error.code, ResultCode::Shed);
    EXPECT_EQ(refusals(request)[0].outcome, Outcome::NotRun);
}

TEST_F(RelaySystemTest, RequestIsRejectedImmediatelyWithoutUpstreams)
{
    upstreams_.clear();
    configure();
    const RequestId request = arrive("/stream/1");
    ASSERT_EQ(refusals(request).size(), 1U);
    EXPECT_EQ(refusals(request)[0].error.code, ResultCode::NoUpstream);
}

TEST_F(RelaySystemTest, ProcessThatWasPausedSendsNothingThatWaitedTooLong)
{
    configure();
    std::vector<RequestId> running;
    RequestId waiting;
    while (dispatches(waiting = arrive("/once/1")).size() == 1) {
        running.push_back(waiting);
    }
    ASSERT_TRUE(refusals(waiting).empty());
    for (const Duration pause : { milliseconds(500), milliseconds(6000), milliseconds(20000) }) {
        SCOPED_TRACE(toMilliseconds(pause));
        if (dispatches(waiting).empty() && refusals(waiting).empty()) {
            advance(pause);
            // The response was already there when the process went on; its timers follow.
            end(running.back());
        }
        EXPECT_TRUE(dispatches(waiting).empty());
        ASSERT_EQ(refusals(waiting).size(), 1U);
        EXPECT_EQ(refusals(waiting)[0].outcome, Outcome::NotRun);
    }
}

TEST_F(RelaySystemTest, FinishTellsWhyAStreamWasLate)
{
    configure();
    const auto finishOf = [this](Duration untilFirst, Duration gap) {
        const RequestId request = arrive("/live/1");
        advance(untilFirst);
        answer(request);
        for (int event = 0; event < 3; ++event) {
            advance(gap);
            system_.progressed({ dispatches(request).back().attempt }, clock_.now(), commands_);
        }
        end(request);
        std::map<std::string, std::string> fields;
        for (const RelayCommand &command : commands_) {
            const Decision *decision = std::get_if<Decision>(&command);
            if (decision != nullptr && decision->kind == "finish") {
                fields = { decision->fields.begin(), decision->fields.end() };
            }
        }
        return fields["late"] + " " + fields["gap_ms"];
    };
    EXPECT_EQ(finishOf(milliseconds(300), milliseconds(200)), "none 200");
    EXPECT_EQ(finishOf(milliseconds(301), milliseconds(10)), "first 10");
    EXPECT_EQ(finishOf(milliseconds(20), milliseconds(201)), "gap 201");
}

TEST_F(RelaySystemTest, UpstreamWhoseEntryLapsesFinishesWhatItRuns)
{
    configure();
    const RequestId once = arrive("/once/1");
    const RequestId stream = arrive("/stream/1");
    answer(stream);
    const std::vector<UpstreamEntry> all = upstreams_;
    upstreams_.clear();
    for (int second = 0; second < 5; ++second) {
        advance(seconds(1));
        readStore();
        system_.progressed({ dispatches(stream)[0].attempt }, clock_.now(), commands_);
        tick();
    }
    for (const RequestId &request : { once, stream }) {
        EXPECT_EQ(dispatches(request).size(), 1U);
        EXPECT_FALSE(cancelled(dispatches(request)[0].attempt));
        EXPECT_TRUE(refusals(request).empty());
        EXPECT_FALSE(broken(request));
    }
    upstreams_ = all;
    readStore();
    answer(once);
    end(once);
    end(stream);
    EXPECT_EQ(system_.inFlight(), 0U);
}

TEST_F(RelaySystemTest, DrainingNodeRejectsNewRequestsAndFinishesOthers)
{
    configure();
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
