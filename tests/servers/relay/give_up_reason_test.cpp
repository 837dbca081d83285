#include "tests/servers/relay/relay_fixture.h"

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class GiveUpReasonTest : public RelayFixture
{
protected:
    std::string lastReason() const { return lastDecision("finish")["reason"]; }
};

TEST_F(GiveUpReasonTest, LogTellsAFailureThatLeftNoAttemptFromOneThatLeftNoBudget)
{
    configure();
    const RequestId failedTwice = arrive("/live/1");
    answer(failedTwice);
    fail(failedTwice);
    fail(failedTwice);
    EXPECT_EQ(lastReason(), "no_attempts_left");
    EXPECT_EQ(lastDecision("finish")["code"], "upstream_lost");
    for (int count = 0; count < 100 && lastReason() != "no_retry_budget"; ++count) {
        const RequestId request = arrive("/live/1");
        answer(request);
        fail(request);
        end(request);
    }
    EXPECT_EQ(lastReason(), "no_retry_budget");
    EXPECT_EQ(lastDecision("finish")["code"], "upstream_lost");
}

TEST_F(GiveUpReasonTest, LogTellsForHowLongAnUpstreamWasSilentWhenItsAttemptEnded)
{
    configure();
    const RequestId request = arrive("/live/1");
    answer(request);
    advance(milliseconds(300));
    fail(request);
    EXPECT_EQ(lastDecision("attempt_failed")["silent_ms"], "300");
}

TEST_F(GiveUpReasonTest, LogTellsWhyNoUpstreamWasTried)
{
    upstreams_ = { upstreamOf("e1", "engines", 1) };
    configure();
    const RequestId none = arrive("/read/1");
    EXPECT_EQ(lastReason(), "no_upstream");
    while (!dispatches(arrive("/stream/1")).empty()) { }
    advance(milliseconds(200));
    tick();
    EXPECT_EQ(lastReason(), "wait_timeout");
    advance(seconds(10));
    tick();
    EXPECT_EQ(lastReason(), "deadline");
    EXPECT_EQ(lastDecision("finish")["code"], "upstream_timeout");
    EXPECT_EQ(refusals(none).size(), 1U);
}

TEST_F(GiveUpReasonTest, AnsweredRequestHasNoReason)
{
    configure();
    const RequestId request = arrive("/read/1");
    answer(request);
    end(request);
    EXPECT_EQ(lastDecision("finish").count("reason"), 0U);
}

} // namespace
} // namespace GeraniumLever
