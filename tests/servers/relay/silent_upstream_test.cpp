#include <algorithm>

#include "tests/servers/relay/silent_upstream_fixture.h"

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;

TEST_F(SilentUpstreamTest, StreamsAreNotCutWhenAllTheirUpstreamsAreSilentForASecond)
{
    configure();
    const std::vector<RequestId> streams = arriveMany("/live/1", 90);
    for (const RequestId &stream : streams) {
        answer(stream);
    }
    passInSilence(milliseconds(1200));
    EXPECT_EQ(countBroken(streams), 0);
    goOn(streams);
    EXPECT_EQ(countBroken(streams), 0);
    EXPECT_EQ(system_.inFlight(), 0U);
}

TEST_F(SilentUpstreamTest, RequestsGetAnswersAfterAllTheirUpstreamsWereSilentForASecond)
{
    configure();
    const std::vector<RequestId> reads = arriveMany("/read/1", 120);
    passInSilence(milliseconds(1200));
    EXPECT_EQ(countRefused(reads), 0);
    goOn(reads);
    EXPECT_EQ(countRefused(reads), 0);
    EXPECT_EQ(system_.inFlight(), 0U);
}

TEST_F(SilentUpstreamTest, StreamsOfASilentUpstreamMoveOnlyToUpstreamsThatRespond)
{
    configure();
    const std::map<UpstreamName, std::vector<RequestId>> streams = beginStreams(90);
    ASSERT_EQ(streams.size(), 9U);
    const std::set<UpstreamName> silent = { UpstreamName("e1"), UpstreamName("e2") };
    std::vector<RequestId> goingOn;
    for (const auto &[upstream, requests] : streams) {
        if (silent.count(upstream) == 0) {
            goingOn.insert(goingOn.end(), requests.begin(), requests.end());
        }
    }
    pass(milliseconds(1200), goingOn);
    int moved = 0;
    for (const UpstreamName &upstream : silent) {
        for (const RequestId &stream : streams.at(upstream)) {
            EXPECT_FALSE(broken(stream));
            moved += dispatches(stream).size() == 2 ? 1 : 0;
            EXPECT_TRUE(dispatches(stream).size() == 1 || silent.count(dispatches(stream).back().upstream) == 0);
        }
    }
    EXPECT_GE(moved, 10);
    EXPECT_EQ(countBroken(goingOn), 0);
}

TEST_F(SilentUpstreamTest, SilentStreamKeepsItsUpstreamUntilAnotherHasRoom)
{
    upstreams_ = { upstreamOf("e1", "engines", 1), upstreamOf("e2", "engines", 1) };
    configure();
    const std::map<UpstreamName, std::vector<RequestId>> streams = beginStreams(4);
    std::vector<RequestId> goingOn = streams.at(UpstreamName("e2"));
    const std::vector<RequestId> &silent = streams.at(UpstreamName("e1"));
    ASSERT_EQ(goingOn.size(), 2U);
    pass(milliseconds(2500), goingOn);
    EXPECT_EQ(countBroken(silent), 0);
    for (const RequestId &stream : silent) {
        EXPECT_FALSE(cancelled(dispatches(stream).front().attempt));
    }
    end(goingOn.back());
    goingOn.pop_back();
    pass(milliseconds(200), goingOn);
    EXPECT_EQ(dispatches(silent.front()).size() + dispatches(silent.back()).size(), 3U);
    EXPECT_EQ(countBroken(silent), 0);
}

/** Most upstreams are silent for a while. */
class MajoritySilenceTest : public SilentUpstreamTest
{
protected:
    /** Six of nine upstreams are silent. */
    void passWithSilentMajority(Duration silence)
    {
        std::vector<RequestId> goingOn;
        for (int number = 7; number <= 9; ++number) {
            const std::vector<RequestId> &streams = streams_.at(UpstreamName("e" + std::to_string(number)));
            goingOn.insert(goingOn.end(), streams.begin(), streams.end());
        }
        pass(silence, goingOn);
    }

    long countMoved() const
    {
        long moved = 0;
        for (const auto &[upstream, requests] : streams_) {
            for (const RequestId &stream : requests) {
                moved += dispatches(stream).size() > 1 ? 1 : 0;
            }
        }
        return moved;
    }

    std::map<UpstreamName, std::vector<RequestId>> streams_;
};

TEST_F(MajoritySilenceTest, SilenceOfMostUpstreamsDoesNotSpendTheRetriesThatACrashNeedsAMomentLater)
{
    configure();
    streams_ = beginStreams(45);
    ASSERT_EQ(streams_.size(), 9U);
    passWithSilentMajority(milliseconds(1200));
    for (const auto &[upstream, requests] : streams_) {
        for (const RequestId &stream : requests) {
            system_.progressed({ dispatches(stream).back().attempt }, clock_.now(), commands_);
        }
    }
    pass(milliseconds(300), {});
    for (const RequestId &stream : streams_.at(UpstreamName("e1"))) {
        fail(stream);
    }
    EXPECT_EQ(countBroken(streams_.at(UpstreamName("e1"))), 0);
}

TEST_F(MajoritySilenceTest, StreamsMoveWhenMostUpstreamsStaySilent)
{
    configure();
    streams_ = beginStreams(90);
    ASSERT_EQ(streams_.size(), 9U);
    passWithSilentMajority(milliseconds(1700));
    EXPECT_GE(countMoved(), 10);
}

TEST_F(SilentUpstreamTest, RequestsThatMayGoToNoFurtherUpstreamDoNotKeepOthersAtTheirSilentUpstreams)
{
    configure();
    const std::map<UpstreamName, std::vector<RequestId>> streams = beginStreams(90);
    std::vector<RequestId> goingOn;
    for (const auto &[upstream, requests] : streams) {
        if (upstream != UpstreamName("e1")) {
            goingOn.insert(goingOn.end(), requests.begin(), requests.end());
        }
    }
    pass(milliseconds(1000), goingOn);
    for (const RequestId &moved : streams.at(UpstreamName("e1"))) {
        ASSERT_EQ(dispatches(moved).size(), 2U);
        answer(moved);
    }
    pass(milliseconds(900), goingOn);
    const RequestId later = streams.at(UpstreamName("e9")).back();
    for (const RequestId &stream : streams.at(UpstreamName("e9"))) {
        std::erase(goingOn, stream);
        if (stream != later) {
            end(stream);
        }
    }
    pass(milliseconds(1200), goingOn);
    EXPECT_EQ(dispatches(later).size(), 2U);
}

class PausedNodeTest : public SilentUpstreamTest
{
protected:
    void SetUp() override
    {
        configure();
        streams_ = beginStreams(90);
        ASSERT_EQ(streams_.size(), 9U);
    }

    /** The process is paused, and its first tick comes before anything that waits in its sockets. */
    void pauseProcess()
    {
        advance(milliseconds(1200));
        tick();
    }

    /** Delivers what waits in the sockets to the upstream. */
    void deliverFrom(const std::vector<RequestId> &streams)
    {
        for (const RequestId &stream : streams) {
            system_.progressed({ dispatches(stream).front().attempt }, clock_.now(), commands_);
        }
    }

    long countMoved() const
    {
        long moved = 0;
        for (const auto &[upstream, requests] : streams_) {
            moved += std::count_if(requests.begin(), requests.end(), [this](const RequestId &stream) {
                return dispatches(stream).size() > 1;
            });
        }
        return moved;
    }

    void endAll()
    {
        for (const auto &[upstream, requests] : streams_) {
            EXPECT_EQ(countBroken(requests), 0);
            deliverFrom(requests);
            for (const RequestId &stream : requests) {
                system_.ended({ dispatches(stream).front().attempt }, clock_.now(), commands_);
            }
            EXPECT_EQ(countBroken(requests), 0);
        }
        EXPECT_EQ(system_.inFlight(), 0U);
    }

    std::map<UpstreamName, std::vector<RequestId>> streams_;
};

TEST_F(PausedNodeTest, PauseOfTheNodeItselfMovesNoStream)
{
    pauseProcess();
    EXPECT_EQ(countMoved(), 0);
    for (const auto &[upstream, requests] : streams_) {
        deliverFrom(requests);
    }
    advance(TickPeriod);
    tick();
    EXPECT_EQ(countMoved(), 0);
    const RequestId later = arrive("/live/1");
    EXPECT_EQ(dispatches(later).size(), 1U);
    answer(later);
    end(later);
    endAll();
}

TEST_F(PausedNodeTest, StreamsThatMoveAfterAPauseAreNotCut)
{
    pauseProcess();
    for (int number = 1; number <= 5; ++number) {
        deliverFrom(streams_.at(UpstreamName("e" + std::to_string(number))));
    }
    advance(TickPeriod * 4);
    tick();
    EXPECT_GT(countMoved(), 0);
    endAll();
}

TEST_F(SilentUpstreamTest, RequestsWhoseConnectsSpannedAPauseAreNotRefused)
{
    configure();
    const std::vector<RequestId> calls = arriveMany("/once/1", 90);
    advance(milliseconds(1200));
    for (const RequestId &call : calls) {
        fail(call, RelayFailure::Kind::NotConnected);
    }
    pass(milliseconds(200), {});
    EXPECT_EQ(countRefused(calls), 0);
    EXPECT_EQ(dispatches(arrive("/once/1")).size(), 1U);
}

class TakeoverTest : public SilentUpstreamTest
{
protected:
    /** Begins a stream whose upstream falls silent until another one is to take it over. */
    void startTakeover()
    {
        configure();
        stream_ = arrive("/live/1");
        answer(stream_);
        silent_ = dispatches(stream_).back().attempt;
        passInSilence(milliseconds(800));
        ASSERT_EQ(dispatches(stream_).size(), 2U);
        next_ = dispatches(stream_).back().attempt;
        ASSERT_FALSE(cancelled(silent_));
    }

    /** The silent upstream sends the rest of the stream. */
    void endSilentAttempt()
    {
        system_.progressed({ silent_ }, clock_.now(), commands_);
        system_.ended({ silent_ }, clock_.now(), commands_);
    }

    std::size_t countUpstreams(const RequestId &request) const
    {
        std::set<UpstreamName> upstreams;
        for (const RelayDispatch &dispatch : dispatches(request)) {
            upstreams.insert(dispatch.upstream);
        }
        return upstreams.size();
    }

    RequestId stream_;
    AttemptId silent_;
    AttemptId next_;
};

TEST_F(TakeoverTest, StreamIsNotCutWhenTheUpstreamThatShouldTakeItOverTurnsItAway)
{
    startTakeover();
    answerNotRun(stream_);
    pass(milliseconds(400), {});
    EXPECT_FALSE(broken(stream_));
    EXPECT_FALSE(cancelled(silent_));
    endSilentAttempt();
    EXPECT_EQ(lastDecision("finish")["outcome"], "answered");
}

TEST_F(TakeoverTest, StreamIsNotCutWhenTheUpstreamThatShouldTakeItOverFails)
{
    for (const RelayFailure::Kind kind : { RelayFailure::Kind::NotConnected, RelayFailure::Kind::Broken }) {
        startTakeover();
        fail(stream_, kind);
        EXPECT_FALSE(broken(stream_));
        EXPECT_FALSE(cancelled(silent_));
        endSilentAttempt();
        EXPECT_EQ(lastDecision("finish")["outcome"], "answered");
        EXPECT_EQ(system_.inFlight(), 0U);
    }
}

TEST_F(TakeoverTest, StreamGoesOnAtOneUpstreamOnly)
{
    startTakeover();
    answer(stream_);
    EXPECT_TRUE(cancelled(silent_));
    EXPECT_FALSE(cancelled(next_));
    end(stream_);
    startTakeover();
    system_.progressed({ silent_ }, clock_.now(), commands_);
    EXPECT_TRUE(cancelled(next_));
    EXPECT_FALSE(cancelled(silent_));
    answer(stream_);
    EXPECT_FALSE(accepted(stream_)) << "the attempt that was cancelled is not answered any more";
}

TEST_F(TakeoverTest, SilentAttemptDoesNotGoOnBesideTheNextForLong)
{
    startTakeover();
    pass(milliseconds(275), {});
    EXPECT_TRUE(cancelled(silent_));
    EXPECT_FALSE(cancelled(next_));
    answer(stream_);
    end(stream_);
    EXPECT_EQ(lastDecision("finish")["outcome"], "answered");
}

TEST_F(TakeoverTest, StreamIsNotCutWhenItsReplacementTurnsItAwayAfterTheSilentAttemptHasEnded)
{
    startTakeover();
    pass(milliseconds(400), {});
    ASSERT_TRUE(cancelled(silent_));
    answerNotRun(stream_);
    EXPECT_FALSE(broken(stream_));
    answer(stream_);
    end(stream_);
    EXPECT_EQ(lastDecision("finish")["outcome"], "answered");
    EXPECT_EQ(countUpstreams(stream_), 2U);
}

TEST_F(TakeoverTest, StreamIsNotCutWhenItsUpstreamCrashesAfterANeedlessTakeover)
{
    startTakeover();
    system_.progressed({ silent_ }, clock_.now(), commands_);
    ASSERT_TRUE(cancelled(next_));
    pass(milliseconds(300), {});
    system_.failed({ silent_, RelayFailure::Kind::Broken }, clock_.now(), commands_);
    EXPECT_FALSE(broken(stream_));
    answer(stream_);
    end(stream_);
    EXPECT_EQ(lastDecision("finish")["outcome"], "answered");
    EXPECT_EQ(countUpstreams(stream_), 2U);
}

TEST_F(TakeoverTest, RequestDoesNotGoBackToUpstreamsThatFailed)
{
    startTakeover();
    fail(stream_);
    system_.failed({ silent_, RelayFailure::Kind::Broken }, clock_.now(), commands_);
    EXPECT_TRUE(broken(stream_));
    EXPECT_EQ(lastDecision("finish")["reason"], "no_attempts_left");
    EXPECT_EQ(countUpstreams(stream_), 2U);
}

TEST_F(TakeoverTest, BothAttemptsEndWithTheirRequest)
{
    startTakeover();
    disconnect(stream_);
    EXPECT_TRUE(cancelled(silent_));
    EXPECT_TRUE(cancelled(next_));
    startTakeover();
    system_.failed({ silent_, RelayFailure::Kind::Broken }, clock_.now(), commands_);
    EXPECT_FALSE(cancelled(next_));
    answer(stream_);
    end(stream_);
    EXPECT_EQ(lastDecision("finish")["outcome"], "answered");
    EXPECT_EQ(system_.inFlight(), 0U);
}

/** A request that may be repeated, and whose upstream is silent until another one is to take it over. */
class ReadTakeoverTest : public SilentUpstreamTest
{
protected:
    void startTakeover()
    {
        configure();
        read_ = arrive("/read/1");
        silent_ = dispatches(read_).back().attempt;
        pass(milliseconds(625), {});
        ASSERT_EQ(dispatches(read_).size(), 2U);
        next_ = dispatches(read_).back().attempt;
        ASSERT_FALSE(cancelled(silent_));
    }

    void answerAttempt(const AttemptId &attempt, unsigned status, bool notRun)
    {
        RelayResponseHead head;
        head.attempt = attempt;
        head.status = status;
        head.notRun = notRun;
        system_.headArrived(head, clock_.now(), commands_);
    }

    void expectAnswerOf(const AttemptId &attempt)
    {
        EXPECT_FALSE(cancelled(attempt));
        EXPECT_TRUE(refusals(read_).empty());
        answerAttempt(attempt, 200, false);
        system_.ended({ attempt }, clock_.now(), commands_);
        EXPECT_EQ(lastDecision("finish")["outcome"], "answered");
        EXPECT_EQ(system_.inFlight(), 0U);
    }

    RequestId read_;
    AttemptId silent_;
    AttemptId next_;
};

TEST_F(ReadTakeoverTest, ReplacementGoesOnWhenTheSilentUpstreamTurnsTheRequestAway)
{
    startTakeover();
    answerAttempt(silent_, 503, true);
    EXPECT_TRUE(cancelled(silent_));
    expectAnswerOf(next_);
}

TEST_F(ReadTakeoverTest, ReplacementGoesOnWhenTheSilentUpstreamStatesAPause)
{
    startTakeover();
    system_.noticeArrived({ silent_, false, milliseconds(500) }, clock_.now(), commands_);
    answerAttempt(silent_, 503, true);
    EXPECT_TRUE(cancelled(silent_));
    expectAnswerOf(next_);
}

TEST_F(ReadTakeoverTest, ReplacementGoesOnWhenTheSilentUpstreamAnswersWithAFailure)
{
    startTakeover();
    answerAttempt(silent_, 500, false);
    EXPECT_TRUE(cancelled(silent_));
    expectAnswerOf(next_);
}

TEST_F(ReadTakeoverTest, SilentAttemptGoesOnWhenItsReplacementAnswersWithAFailure)
{
    startTakeover();
    answerAttempt(next_, 500, false);
    EXPECT_TRUE(cancelled(next_));
    expectAnswerOf(silent_);
}

TEST_F(ReadTakeoverTest, RequestWhoseResponseArrivesIsNotMoved)
{
    configure();
    read_ = arrive("/read/1");
    const AttemptId attempt = dispatches(read_).back().attempt;
    for (int part = 0; part < 4; ++part) {
        pass(milliseconds(300), {});
        holdBack(attempt);
    }
    EXPECT_EQ(dispatches(read_).size(), 1U);
    EXPECT_TRUE(lastDecision("silence").empty());
    expectAnswerOf(attempt);
}

TEST_F(ReadTakeoverTest, SilentAttemptWhoseResponseArrivesGoesOn)
{
    startTakeover();
    holdBack(silent_);
    holdBack(next_);
    pass(milliseconds(275), {});
    EXPECT_TRUE(cancelled(next_));
    expectAnswerOf(silent_);
}

TEST_F(ReadTakeoverTest, ReplacementGoesOnWhenTheResponseOfTheSilentUpstreamBreaks)
{
    startTakeover();
    holdBack(silent_);
    system_.failed({ silent_, RelayFailure::Kind::Broken }, clock_.now(), commands_);
    expectAnswerOf(next_);
}

TEST_F(ReadTakeoverTest, ReplacementWhoseResponseArrivesGoesOn)
{
    startTakeover();
    holdBack(next_);
    EXPECT_FALSE(cancelled(silent_));
    pass(milliseconds(275), {});
    EXPECT_TRUE(cancelled(silent_));
    expectAnswerOf(next_);
}

TEST_F(ReadTakeoverTest, ResponseThatBreaksBeforeItIsForwardedIsReplaced)
{
    configure();
    read_ = arrive("/read/1");
    holdBack(dispatches(read_).back().attempt);
    fail(read_);
    ASSERT_EQ(dispatches(read_).size(), 2U);
    expectAnswerOf(dispatches(read_).back().attempt);
}

TEST_F(TakeoverTest, ResponseThatCannotContinueAStreamIsNoSignOfLife)
{
    for (Route &route : configuration_.routes) {
        route.maxAttempts = 3;
    }
    startTakeover();
    for (int part = 0; part < 9; ++part) {
        pass(milliseconds(100), {});
        holdBack(next_);
    }
    EXPECT_EQ(lastDecision("silence")["upstream"], dispatches(stream_)[1].upstream.text());
}

TEST_F(TakeoverTest, UpstreamThatGoesOnDuringATakeoverIsNoLongerSuspected)
{
    upstreams_ = { upstreamOf("e1", "engines", 48), upstreamOf("e2", "engines", 48) };
    startTakeover();
    system_.progressed({ silent_ }, clock_.now(), commands_);
    ASSERT_TRUE(cancelled(next_));
    const std::vector<RequestId> others = arriveMany("/live/1", 10);
    std::set<UpstreamName> used;
    for (const RequestId &other : others) {
        for (const RelayDispatch &dispatch : dispatches(other)) {
            used.insert(dispatch.upstream);
        }
    }
    EXPECT_EQ(used.count(dispatches(stream_).front().upstream), 1U);
}

TEST_F(SilentUpstreamTest, StreamOfASilentUpstreamGetsARoomThatNewRequestsWaitForToo)
{
    upstreams_ = { upstreamOf("e1", "engines", 1), upstreamOf("e2", "engines", 1) };
    configure();
    const std::map<UpstreamName, std::vector<RequestId>> streams = beginStreams(4);
    const RequestId silent = streams.at(UpstreamName("e1")).front();
    std::vector<RequestId> goingOn = streams.at(UpstreamName("e2"));
    for (int step = 0; step < 36 && dispatches(silent).size() < 2; ++step) {
        const std::vector<RequestId> waiting = arriveMany("/live/1", 2);
        pass(milliseconds(50), goingOn);
        end(goingOn.front());
        goingOn.erase(goingOn.begin());
        for (const RequestId &request : waiting) {
            if (!dispatches(request).empty()) {
                answer(request);
                goingOn.push_back(request);
            }
        }
        ASSERT_FALSE(goingOn.empty());
    }
    EXPECT_EQ(dispatches(silent).size(), 2U);
}

TEST_F(SilentUpstreamTest, StreamsDoNotMoveToUpstreamsThatShareTheirSilence)
{
    configure();
    const std::map<UpstreamName, std::vector<RequestId>> streams = beginStreams(4);
    ASSERT_EQ(streams.size(), 4U);
    passInSilence(milliseconds(1200));
    for (const auto &[upstream, requests] : streams) {
        EXPECT_EQ(dispatches(requests.front()).size(), 1U) << "moved to an upstream that has not shown any sign";
    }
}

TEST_F(SilentUpstreamTest, FailureOfAnUpstreamIsForwardedWhenNoOtherUpstreamIsLeft)
{
    upstreams_ = { upstreamOf("p1", "plain", 4) };
    configure();
    const RequestId read = arrive("/read/1");
    answer(read, 500);
    pass(milliseconds(500), {});
    EXPECT_TRUE(refusals(read).empty());
    EXPECT_TRUE(accepted(read));
}

TEST_F(TakeoverTest, NoticeOfASilentUpstreamDoesNotEndItsReplacement)
{
    startTakeover();
    system_.noticeArrived({ silent_, true, std::nullopt }, clock_.now(), commands_);
    pass(milliseconds(275), {});
    EXPECT_FALSE(cancelled(next_));
    EXPECT_EQ(lastDecision("notice")["upstream"], dispatches(stream_).front().upstream.text());
}

TEST_F(SilentUpstreamTest, SlowAnswersAreNotRestartedAtUpstreamsThatRanThemBefore)
{
    configure();
    const RequestId read = arrive("/read/1");
    bool isAnswered = false;
    for (int step = 0; step < 100 && !isAnswered; ++step) {
        pass(TickPeriod, {});
        for (const RelayDispatch &dispatch : dispatches(read)) {
            // Each upstream takes 1.5 s for its answer.
            const auto [sent, isNew] = sentAt_.try_emplace(dispatch.attempt, clock_.now());
            if (!cancelled(dispatch.attempt) && clock_.now() - sent->second >= milliseconds(1500)) {
                isAnswered = true;
            }
        }
    }
    EXPECT_TRUE(isAnswered) << "no attempt was left alone for the 1.5 s that an answer takes";
    EXPECT_LE(dispatches(read).size(), 2U);
}

TEST_F(SilentUpstreamTest, StreamIsNotSentBackWhileItsReplacementReadsThePrompt)
{
    // Silence is taken for long after 200 ms; an upstream may take a second to begin.
    configuration_.routes[1].gapTarget = milliseconds(50);
    configuration_.routes[1].target = std::chrono::seconds(1);
    upstreams_ = { upstreamOf("e1", "engines", 48), upstreamOf("e2", "engines", 48) };
    configure();
    const std::map<UpstreamName, std::vector<RequestId>> streams = beginStreams(4);
    const RequestId stalled = streams.at(UpstreamName("e1")).front();
    std::vector<RequestId> goingOn = streams.at(UpstreamName("e2"));
    goingOn.push_back(streams.at(UpstreamName("e1")).back());
    pass(milliseconds(700), goingOn);
    ASSERT_GE(dispatches(stalled).size(), 2U);
    EXPECT_FALSE(cancelled(dispatches(stalled)[1].attempt)) << "500 ms after it was sent";
    EXPECT_EQ(dispatches(stalled).size(), 2U);
}

TEST_F(SilentUpstreamTest, StreamLeavesASilentUpstreamWhileAnotherUpstreamPreparesALongAnswer)
{
    Route slow = configuration_.routes[1];
    slow.name = "slow";
    slow.pathPrefix = "/slow/";
    slow.target = std::chrono::seconds(3);
    configuration_.routes.push_back(slow);
    configure();
    const RequestId stream = arrive("/live/1");
    answer(stream);
    pass(milliseconds(100), { stream });
    // Is expected to begin within 3 s.
    const RequestId preparing = arrive("/slow/1");
    ASSERT_NE(dispatches(preparing).front().upstream, dispatches(stream).front().upstream);
    pass(milliseconds(1900), {});
    EXPECT_EQ(dispatches(preparing).size(), 1U);
    EXPECT_GE(dispatches(stream).size(), 2U) << "seven upstreams are idle";
}

TEST_F(TakeoverTest, RequestDoesNotGoBackToASilentUpstreamThatFailed)
{
    startTakeover();
    system_.failed({ silent_, RelayFailure::Kind::Broken }, clock_.now(), commands_);
    fail(stream_);
    EXPECT_EQ(dispatches(stream_).size(), 2U) << "sent to an upstream at which it has failed";
    EXPECT_EQ(lastDecision("finish")["reason"], "no_attempts_left");
}

TEST_F(ReadTakeoverTest, AnswerOfAReplacementIsNotDroppedForAnUpstreamThatIsStillSilent)
{
    startTakeover();
    pass(milliseconds(500), {});
    ASSERT_TRUE(cancelled(silent_));
    answerAttempt(next_, 500, false);
    EXPECT_EQ(dispatches(read_).size(), 2U) << "sent back to the silent upstream";
    EXPECT_FALSE(cancelled(next_));
}

TEST_F(SilentUpstreamTest, BrokenStreamOfARouteWithThreeUpstreamsGoesToOneThatHasNotBeenSilent)
{
    configuration_.routes[1].maxAttempts = 3;
    configure();
    PromptInfo prompt;
    prompt.parts = { { 7, 100 }, { 8, 10 } };
    prompt.promptTokens = 110;
    const RequestId stream = arrive("/live/1", "key-one", prompt);
    answer(stream);
    pass(milliseconds(1300), {});
    ASSERT_EQ(dispatches(stream).size(), 2U);
    ASSERT_TRUE(cancelled(dispatches(stream).front().attempt));
    fail(stream);
    ASSERT_EQ(dispatches(stream).size(), 3U);
    EXPECT_NE(dispatches(stream)[2].upstream, dispatches(stream)[0].upstream) << "seven others are idle";
}

TEST_F(SilentUpstreamTest, StreamOfACrashedUpstreamIsNotCutBecauseTakeoversSpentTheBudget)
{
    configure();
    const std::map<UpstreamName, std::vector<RequestId>> streams = beginStreams(90);
    std::vector<RequestId> goingOn;
    for (const auto &[upstream, requests] : streams) {
        if (upstream != UpstreamName("e1") && upstream != UpstreamName("e2")) {
            goingOn.insert(goingOn.end(), requests.begin(), requests.end());
        }
    }
    pass(milliseconds(1200), goingOn);
    fail(goingOn.back());
    EXPECT_FALSE(broken(goingOn.back())) << lastDecision("finish")["reason"];
}

TEST_F(SilentUpstreamTest, BrokenStreamIsNotCutWhileItsCallerStillWaits)
{
    // Callers wait for eight gap targets.
    configuration_.routes[1].gapTarget = std::chrono::seconds(1);
    upstreams_ = { upstreamOf("e1", "engines", 1), upstreamOf("e2", "engines", 1) };
    configure();
    const std::map<UpstreamName, std::vector<RequestId>> streams = beginStreams(4);
    const RequestId stream = streams.at(UpstreamName("e1")).front();
    std::vector<RequestId> goingOn = streams.at(UpstreamName("e2"));
    fail(stream);
    pass(milliseconds(1200), goingOn);
    EXPECT_FALSE(broken(stream)) << lastDecision("finish")["reason"];
    end(goingOn.back());
    goingOn.pop_back();
    pass(milliseconds(100), goingOn);
    EXPECT_EQ(dispatches(stream).size(), 2U);
}

TEST_F(SilentUpstreamTest, SilentStreamMovesToAnIdleUpstreamWhenThoseThatRespondAreFull)
{
    upstreams_ = { upstreamOf("e1", "engines", 1), upstreamOf("e2", "engines", 1) };
    configure();
    const std::map<UpstreamName, std::vector<RequestId>> streams = beginStreams(4);
    const std::vector<RequestId> &goingOn = streams.at(UpstreamName("e2"));
    const RequestId silent = streams.at(UpstreamName("e1")).front();
    upstreams_.push_back(upstreamOf("e3", "engines", 48));
    readStore();
    pass(milliseconds(1800), goingOn);
    EXPECT_GE(dispatches(silent).size(), 2U) << "e3 is idle and has 48 seats";
}

TEST_F(SilentUpstreamTest, SilentStreamMovesToAnIdleUpstreamOfItsVersionWhileAnotherVersionResponds)
{
    upstreams_ = { upstreamOf("e1", "engines", 48), upstreamOf("e2", "engines", 48) };
    upstreams_.front().version = "old";
    upstreams_.back().version = "new";
    configure();
    const std::map<UpstreamName, std::vector<RequestId>> streams = beginStreams(2);
    ASSERT_EQ(streams.size(), 2U);
    const RequestId silent = streams.at(UpstreamName("e1")).front();
    upstreams_.push_back(upstreamOf("e3", "engines", 48));
    upstreams_.back().version = "old";
    readStore();
    pass(milliseconds(1800), streams.at(UpstreamName("e2")));
    EXPECT_GE(dispatches(silent).size(), 2U) << "e3 is idle and has the stream's version";
}

} // namespace
} // namespace GeraniumLever
