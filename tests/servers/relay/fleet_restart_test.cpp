/** Tests that streams never go on at another version after all nodes were killed at once. */
#include "tests/servers/relay/fleet_fixture.h"

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class FleetRestartTest : public FleetFixture
{
};

TEST_F(FleetRestartTest, NoStreamGoesOnAtAnotherVersionWheneverItsOwnHasLeft)
{
    for (const int count : { 1, 9 }) {
        for (const Departure &departure : departures) {
            SCOPED_TRACE(std::string(departure.name) + " the kill, nodes: " + std::to_string(count));
            reset();
            startNodes(count);
            pass(seconds(3));
            beginStreams();
            serve("new-1", "v2");
            serve("new-2", "v2");
            pass(seconds(16));
            // The streams that are taken up later have been going on all the time; those of the old version are cut by
            // the kill at the latest.
            const TimePoint killAt = clock_.now() + seconds(16);
            bool hasLeft = false;
            const auto passUntil = [&](TimePoint end) {
                while (clock_.now() < end) {
                    if (!hasLeft && clock_.now() >= killAt + departure.afterKill) {
                        withdraw("v1");
                        hasLeft = true;
                    }
                    pass(Step);
                }
            };
            passUntil(killAt);
            killAll();
            passUntil(killAt + Outage);
            startNodes(count);
            for (int second = 0; second < 40; second += 4) {
                passUntil(killAt + Outage + seconds(second));
                takeUpStreams(std::to_string(second) + " s after the restart");
            }
            for (const auto &[id, version] : versions_) {
                EXPECT_EQ(version, "old") << id;
            }
            EXPECT_FALSE(refusals_.empty());
            for (const auto &[id, refusal] : refusals_) {
                EXPECT_EQ(refusal.outcome, Outcome::NotRun) << id;
                EXPECT_TRUE(refusal.error.retryAfter.has_value()) << id;
            }
        }
    }
}

TEST_F(FleetRestartTest, StreamsGoOnRightAfterTheRestartIfTheVersionHasNotChanged)
{
    for (const int count : { 1, 9 }) {
        SCOPED_TRACE(count);
        reset();
        startNodes(count);
        pass(seconds(5));
        EXPECT_EQ(versionTable_.writes(), 1U) << "the others see that the first node has noted the version";
        beginStreams();
        killAll();
        pass(Outage);
        startNodes(count);
        takeUpStreams("after the restart");
        for (const auto &[id, refusal] : refusals_) {
            EXPECT_NE(refusal.error.code, ResultCode::StreamOriginUnknown) << id;
        }
        EXPECT_EQ(versions_.size(), static_cast<std::size_t>(count + 2 * count * count));
        EXPECT_EQ(originWrites_, 0) << "the notes are enough";
    }
}

TEST_F(FleetRestartTest, StreamsOfBothVersionsGoOnAfterTheRestartIfTheirOriginsWereStored)
{
    for (const int count : { 1, 9, 65 }) {
        SCOPED_TRACE(count);
        reset();
        startNodes(count);
        pass(seconds(5));
        serve("new-1", "v2");
        serve("new-2", "v2");
        pass(seconds(10));
        std::map<std::string, std::string> begun;
        for (const char *moment : { "first ", "second ", "third " }) {
            beginStreams(moment);
            pass(milliseconds(100));
        }
        for (const auto &[id, version] : versions_) {
            begun[id] = version;
        }
        pass(seconds(1));
        killAll();
        pass(Outage);
        startNodes(count);
        int resumed = 0;
        for (const auto &[id, version] : begun) {
            const std::string again = "again " + id;
            send("node-" + std::to_string(resumed % count), again, "3", id);
            pass(milliseconds(50));
            ASSERT_TRUE(versions_.contains(again)) << again;
            EXPECT_EQ(versions_[again], version) << again;
            ++resumed;
        }
        EXPECT_EQ(resumed, 3 * count);
        EXPECT_GT(originWrites_, 0);
        EXPECT_LE(originWrites_, count * 4) << "at most two a second and node";
    }
}

TEST_F(FleetRestartTest, NodesThatNeverSawTheOldVersionKnowItFromTheNotes)
{
    reset();
    startNodes(9);
    pass(seconds(5));
    beginStreams();
    serve("new-1", "v2");
    pass(seconds(5));
    withdraw("v1");
    // All are killed before any node has noted that the version is gone.
    pass(seconds(1));
    killAll();
    pass(Outage);
    startNodes(3);
    takeUpStreams("after the restart");
    pass(seconds(60));
    takeUpStreams("a minute later");
    for (const auto &[id, version] : versions_) {
        EXPECT_EQ(version, "old") << id;
    }
}

} // namespace
} // namespace GeraniumLever
