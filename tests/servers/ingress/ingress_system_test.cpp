#include "servers/ingress/ingress.h"

#include <gtest/gtest.h>

#include "tests/servers/ingress/ingress_fixture.h"

namespace GeraniumLever {
namespace {

using IngressSystemTest = IngressFixture;

TEST_F(IngressSystemTest, StreamsACompleteAnswer)
{
    const RequestId request = sendChat("live");
    ASSERT_EQ(sent<SlotRequest>().size(), 1u);
    const AttemptId attempt = grant(request, "e1");
    ASSERT_TRUE(last<UpstreamDispatch>().has_value());
    head(attempt);
    token(attempt, "one ");
    finishStream(attempt);
    EXPECT_TRUE(last<ReplyHead>()->streamed);
    EXPECT_TRUE(repliedData().ends_with("[DONE]"));
    EXPECT_TRUE(last<ReplyEnd>().has_value());
    EXPECT_EQ(sent<AttemptEnd>().back().ending, AttemptEnding::Completed);
    EXPECT_EQ(ingress_.inFlight(), 0u);
}

TEST_F(IngressSystemTest, RefusesRequestsThatAreNotAllowed)
{
    send("unheard-of", "/v1/chat/completions", "{}");
    EXPECT_EQ(last<ReplyError>()->error.code, ResultCode::UnknownClass);
    send("live", "/services/unheard-of/x", "");
    EXPECT_EQ(last<ReplyError>()->error.code, ResultCode::UnknownService);
    send("payment", "/services/desk/pay", "{}");
    EXPECT_EQ(last<ReplyError>()->error.code, ResultCode::MissingIdempotencyKey);
    EXPECT_EQ(last<ReplyError>()->outcome, Outcome::NotRun);
    EXPECT_EQ(ingress_.inFlight(), 0u);
}

TEST_F(IngressSystemTest, ResumesAtAnotherUpstreamFromTheTextSoFar)
{
    const RequestId request = sendChat("live");
    const AttemptId first = grant(request, "e1");
    head(first);
    token(first, "one ");
    ingress_.upstreamFailed({ first, UpstreamFailure::Kind::Broken }, clock_.now(), commands_);
    const SlotRequest again = sent<SlotRequest>().back();
    EXPECT_TRUE(again.retry);
    EXPECT_EQ(again.deliveredTokens, 1u);
    EXPECT_EQ(again.excluded, std::vector<UpstreamName> { UpstreamName("e1") });
    const AttemptId second = grant(request, "e2");
    EXPECT_NE(last<UpstreamDispatch>()->body.find(R"("content":"one ")"), std::string::npos);
    // A late event of the first attempt must not reach the caller.
    const std::size_t replies = all<ReplyData>().size();
    token(first, "two ");
    EXPECT_EQ(all<ReplyData>().size(), replies);
    head(second);
    token(second, "two ");
    finishStream(second);
    EXPECT_TRUE(last<ReplyEnd>().has_value());
    EXPECT_EQ(all<ReplyHead>().size(), 1u);
}

TEST_F(IngressSystemTest, CrossedAnswerNeverReachesTheCaller)
{
    const RequestId request = sendChat("live");
    const AttemptId attempt = grant(request, "e1");
    head(attempt, 200, AttemptId(1, 1).text());
    token(attempt, "not yours");
    EXPECT_TRUE(all<ReplyData>().empty());
    EXPECT_EQ(last<UpstreamCancel>()->attempt, attempt);
    EXPECT_EQ(sent<SlotRequest>().size(), 2u);
}

TEST_F(IngressSystemTest, IncompleteStreamEndsInAnErrorWhenNoUpstreamCanResumeIt)
{
    const RequestId request = sendChat("live");
    const AttemptId attempt = grant(request, "e1");
    head(attempt);
    token(attempt, "one ");
    ingress_.upstreamEnded({ attempt }, clock_.now(), commands_);
    SlotRefusal refusal;
    refusal.request = request;
    refusal.code = ResultCode::NoUpstream;
    ingress_.slotRefused(self_, refusal, clock_.now(), commands_);
    EXPECT_EQ(last<ReplyError>()->outcome, Outcome::Failed);
    EXPECT_FALSE(last<ReplyEnd>().has_value());
}

TEST_F(IngressSystemTest, ServerErrorOfIdempotentWorkIsRetriedAtAnotherUpstream)
{
    const RequestId request = sendChat("live");
    const AttemptId attempt = grant(request, "e1");
    UpstreamHead answer;
    answer.attempt = attempt;
    answer.status = 500;
    answer.contentType = "application/json";
    ingress_.upstreamHead(answer, clock_.now(), commands_);
    ingress_.upstreamEnded({ attempt }, clock_.now(), commands_);
    EXPECT_FALSE(last<ReplyHead>().has_value());
    EXPECT_EQ(sent<SlotRequest>().back().excluded, std::vector<UpstreamName> { UpstreamName("e1") });
}

TEST_F(IngressSystemTest, DisconnectedCallerCancelsIdempotentWorkOnly)
{
    const RequestId chat = sendChat("live");
    const AttemptId attempt = grant(chat, "e1");
    ingress_.callerGone({ chat }, clock_.now(), commands_);
    EXPECT_EQ(last<UpstreamCancel>()->attempt, attempt);
    EXPECT_EQ(ingress_.inFlight(), 0u);

    const RequestId payment = send("payment", "/services/desk/pay", "{}", "key");
    answerStore();
    grant(payment, "d1");
    answerStore();
    const std::size_t cancels = all<UpstreamCancel>().size();
    ingress_.callerGone({ payment }, clock_.now(), commands_);
    EXPECT_EQ(all<UpstreamCancel>().size(), cancels);
    EXPECT_EQ(ingress_.inFlight(), 1u);
}

TEST_F(IngressSystemTest, NonIdempotentCallIsDispatchedOnlyOnceItsClaimIsHeld)
{
    const RequestId payment = send("payment", "/services/desk/pay", "{}", "key");
    EXPECT_TRUE(sent<SlotRequest>().empty());
    answerStore();
    grant(payment, "d1");
    EXPECT_FALSE(last<UpstreamDispatch>().has_value());
    answerStore();
    ASSERT_TRUE(last<UpstreamDispatch>().has_value());
    EXPECT_TRUE(last<UpstreamDispatch>()->freshConnection);
}

TEST_F(IngressSystemTest, StatusQueryDecodesTheKey)
{
    CallerRequest query;
    query.request = RequestId(7, 99);
    query.method = "GET";
    query.target = "/v1/requests/a%2Fb%20c";
    query.keyHash = "hash";
    ingress_.callerRequested(query, clock_.now(), commands_);
    ASSERT_TRUE(last<TableGet>().has_value());
    EXPECT_TRUE(last<TableGet>()->keys.front().ends_with("/a%2Fb%20c"));
}

TEST_F(IngressSystemTest, BrokenNonIdempotentCallHasUnknownOutcomeAndIsNotRetried)
{
    const RequestId payment = send("payment", "/services/desk/pay", "{}", "key");
    answerStore();
    const AttemptId attempt = grant(payment, "d1");
    answerStore();
    const std::size_t asked = sent<SlotRequest>().size();
    ingress_.upstreamFailed({ attempt, UpstreamFailure::Kind::Broken }, clock_.now(), commands_);
    EXPECT_EQ(last<ReplyError>()->outcome, Outcome::Unknown);
    EXPECT_EQ(sent<SlotRequest>().size(), asked);
}

TEST_F(IngressSystemTest, NonIdempotentCallToAnUnreachableUpstreamIsNotRun)
{
    const RequestId payment = send("payment", "/services/desk/pay", "{}", "key");
    answerStore();
    const AttemptId attempt = grant(payment, "d1");
    answerStore();
    ingress_.upstreamFailed({ attempt, UpstreamFailure::Kind::NotConnected }, clock_.now(), commands_);
    EXPECT_EQ(last<ReplyError>()->outcome, Outcome::NotRun);
    EXPECT_TRUE(last<ReplyError>()->error.retryAfter.has_value());
}

TEST_F(IngressSystemTest, SilentConnectionIsProbedAndTheStreamResumed)
{
    const RequestId request = sendChat("live");
    const AttemptId attempt = grant(request, "e1");
    head(attempt);
    token(attempt, "one ");
    ingress_.upstreamFailed({ attempt, UpstreamFailure::Kind::Silent }, clock_.now(), commands_);
    EXPECT_EQ(last<UpstreamProbe>()->upstream, UpstreamName("e1"));
    ingress_.probed({ UpstreamName("e1"), true }, clock_.now(), commands_);
    EXPECT_TRUE(sent<SlotRequest>().back().excluded.empty());
    EXPECT_EQ(sent<SlotRequest>().back().deliveredTokens, 1u);
}

/** A stream whose upstream has sent nothing for its silence limit. */
class SilentAttemptTest : public IngressFixture
{
protected:
    void SetUp() override
    {
        request_ = sendChat("live");
        attempt_ = grant(request_, "e1");
        head(attempt_);
        token(attempt_, "one ");
        reportSilence();
    }

    void reportSilence()
    {
        ingress_.upstreamFailed({ attempt_, UpstreamFailure::Kind::Silent }, clock_.now(), commands_);
    }

    void answerProbe(bool answered) { ingress_.probed({ UpstreamName("e1"), answered }, clock_.now(), commands_); }

    void refuseSeat()
    {
        SlotRefusal refusal;
        refusal.request = request_;
        refusal.code = ResultCode::Shed;
        ingress_.slotRefused(self_, refusal, clock_.now(), commands_);
    }

    void expectWholeAnswerFrom(const AttemptId &attempt)
    {
        token(attempt, "two");
        finishStream(attempt);
        EXPECT_FALSE(last<ReplyError>().has_value());
        EXPECT_TRUE(last<ReplyEnd>().has_value());
        EXPECT_NE(repliedData().find("two"), std::string::npos);
        EXPECT_EQ(ingress_.inFlight(), 0u);
    }

    RequestId request_;
    AttemptId attempt_;
};

TEST_F(SilentAttemptTest, IsNotCancelledWhileItsUpstreamIsProbed)
{
    EXPECT_TRUE(last<UpstreamProbe>().has_value());
    EXPECT_FALSE(last<UpstreamCancel>().has_value());
    expectWholeAnswerFrom(attempt_);
    answerProbe(false);
    EXPECT_EQ(all<UpstreamDispatch>().size(), 1u);
}

TEST_F(SilentAttemptTest, GoesOnIfNoSeatIsGranted)
{
    for (const bool answered : { false, true }) {
        answerProbe(answered);
        refuseSeat();
        ASSERT_FALSE(sent<AttemptRegistration>().empty());
        EXPECT_EQ(sent<AttemptRegistration>().back().attempt, attempt_);
        reportSilence();
    }
    EXPECT_FALSE(last<UpstreamCancel>().has_value());
    expectWholeAnswerFrom(attempt_);
    EXPECT_EQ(sent<AttemptEnd>().back().ending, AttemptEnding::Completed);
}

TEST_F(SilentAttemptTest, GoesOnIfNoSeatIsGrantedBeforeTheDeadline)
{
    answerProbe(false);
    clock_.advance(std::chrono::seconds(31));
    ingress_.tick(clock_.now(), commands_);
    expectWholeAnswerFrom(attempt_);
}

TEST_F(SilentAttemptTest, IsCancelledOnlyOnceItsReplacementHasASeat)
{
    answerProbe(false);
    EXPECT_EQ(sent<SlotRequest>().back().excluded, std::vector<UpstreamName> { UpstreamName("e1") });
    EXPECT_EQ(sent<AttemptEnd>().back().ending, AttemptEnding::Lost);
    EXPECT_FALSE(last<UpstreamCancel>().has_value());
    const AttemptId second = grant(request_, "e2");
    ASSERT_TRUE(last<UpstreamCancel>().has_value());
    EXPECT_EQ(last<UpstreamCancel>()->attempt, attempt_);
    EXPECT_EQ(last<UpstreamDispatch>()->attempt, second);
    token(attempt_, "late");
    head(second);
    expectWholeAnswerFrom(second);
    EXPECT_EQ(repliedData().find("late"), std::string::npos);
}

TEST_F(SilentAttemptTest, IsNotReplacedIfItsUpstreamRespondsBeforeTheGrant)
{
    answerProbe(false);
    token(attempt_, "more ");
    EXPECT_EQ(sent<SlotCancel>().size(), 1u);
    ASSERT_FALSE(sent<AttemptRegistration>().empty());
    EXPECT_EQ(sent<AttemptRegistration>().back().attempt, attempt_);
    grant(request_, "e2");
    EXPECT_EQ(sent<AttemptEnd>().back().ending, AttemptEnding::NotSent);
    EXPECT_EQ(all<UpstreamDispatch>().size(), 1u);
    expectWholeAnswerFrom(attempt_);
}

TEST_F(SilentAttemptTest, ThatBreaksIsReplacedWithTheSeatRequestedBefore)
{
    answerProbe(false);
    const std::size_t asked = sent<SlotRequest>().size();
    ingress_.upstreamFailed({ attempt_, UpstreamFailure::Kind::Broken }, clock_.now(), commands_);
    EXPECT_EQ(sent<SlotRequest>().size(), asked);
    const AttemptId second = grant(request_, "e2");
    head(second);
    expectWholeAnswerFrom(second);
}

TEST_F(SilentAttemptTest, GoesOnWithoutAttemptsLeft)
{
    for (int number = 0; number < 3; ++number) {
        answerProbe(true);
        attempt_ = grant(request_, "e1");
        head(attempt_);
        reportSilence();
    }
    const std::size_t cancels = all<UpstreamCancel>().size();
    answerProbe(true);
    EXPECT_EQ(all<UpstreamCancel>().size(), cancels);
    expectWholeAnswerFrom(attempt_);
}

TEST_F(SilentAttemptTest, DoesNotGoOnForever)
{
    for (int number = 0; number < 6; ++number) {
        answerProbe(false);
        refuseSeat();
        clock_.advance(std::chrono::seconds(3));
        reportSilence();
    }
    EXPECT_EQ(last<UpstreamCancel>()->attempt, attempt_);
    refuseSeat();
    EXPECT_TRUE(last<ReplyError>().has_value());
    EXPECT_EQ(ingress_.inFlight(), 0u);
}

TEST_F(SilentAttemptTest, LeavesNoWorkBehindIfTheCallerGoes)
{
    answerProbe(false);
    ingress_.callerGone({ request_ }, clock_.now(), commands_);
    EXPECT_EQ(last<UpstreamCancel>()->attempt, attempt_);
    EXPECT_EQ(sent<SlotCancel>().size(), 1u);
    EXPECT_EQ(ingress_.inFlight(), 0u);
}

TEST_F(SilentAttemptTest, FreesItsSeatIfTheCallerGoesDuringTheProbe)
{
    ingress_.callerGone({ request_ }, clock_.now(), commands_);
    EXPECT_EQ(last<UpstreamCancel>()->attempt, attempt_);
    ASSERT_FALSE(sent<AttemptEnd>().empty());
    EXPECT_EQ(sent<AttemptEnd>().back().ending, AttemptEnding::Cancelled);
}

TEST_F(IngressSystemTest, SilentNonIdempotentCallIsCancelledAndNotRetried)
{
    const RequestId payment = send("payment", "/services/desk/pay", "{}", "key");
    answerStore();
    const AttemptId attempt = grant(payment, "d1");
    answerStore();
    const std::size_t asked = sent<SlotRequest>().size();
    ingress_.upstreamFailed({ attempt, UpstreamFailure::Kind::Silent }, clock_.now(), commands_);
    EXPECT_EQ(last<UpstreamCancel>()->attempt, attempt);
    EXPECT_EQ(last<ReplyError>()->outcome, Outcome::Unknown);
    EXPECT_EQ(sent<SlotRequest>().size(), asked);
    EXPECT_EQ(all<UpstreamDispatch>().size(), 1u);
}

TEST_F(IngressSystemTest, RequestWithoutASeatIsRefusedAtItsDeadline)
{
    sendChat("live");
    clock_.advance(std::chrono::seconds(31));
    ingress_.tick(clock_.now(), commands_);
    EXPECT_EQ(last<ReplyError>()->error.code, ResultCode::DeadlineUnreachable);
    EXPECT_EQ(last<ReplyError>()->outcome, Outcome::NotRun);
    EXPECT_EQ(sent<SlotCancel>().size(), 1u);
}

TEST_F(IngressSystemTest, LateGrantIsReturned)
{
    const RequestId request = sendChat("live");
    ingress_.callerGone({ request }, clock_.now(), commands_);
    grant(request, "e1");
    EXPECT_EQ(sent<AttemptEnd>().back().ending, AttemptEnding::NotSent);
    EXPECT_FALSE(last<UpstreamDispatch>().has_value());
}

TEST_F(IngressSystemTest, PausedStreamResumesAtAnotherUpstream)
{
    const RequestId request = sendChat("live");
    const AttemptId first = grant(request, "e1");
    head(first);
    token(first, "one ");
    ingress_.attemptPaused({ first, request }, clock_.now(), commands_);
    EXPECT_EQ(sent<AttemptEnd>().back().ending, AttemptEnding::Paused);
    EXPECT_TRUE(sent<SlotRequest>().back().resumesPaused);
    EXPECT_FALSE(last<ReplyError>().has_value());
    const AttemptId second = grant(request, "e2");
    head(second);
    token(second, "two");
    finishStream(second);
    EXPECT_TRUE(last<ReplyEnd>().has_value());
}

} // namespace
} // namespace GeraniumLever
