#include "main/node/leaving_tracker.h"

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

class LeavingTrackerTest : public testing::Test
{
protected:
    LoadReport report(bool leaving) const
    {
        LoadReport report;
        report.upstream = engine_;
        report.leaving = leaving;
        return report;
    }

    VmList list(bool leaving) const
    {
        VmEntry entry;
        entry.name = engine_.text();
        entry.leaving = leaving;
        return { { entry } };
    }

    const UpstreamName engine_ { "engine-1" };
    SteppedClock clock_;
    LeavingTracker tracker_;
};

TEST_F(LeavingTrackerTest, OnlyTheFirstSourceCausesANotice)
{
    EXPECT_EQ(tracker_.reportReceived(report(true), clock_.now()), (LeavingNotice { engine_, true }));
    EXPECT_EQ(tracker_.announcementReceived(engine_, clock_.now()), std::nullopt);
    EXPECT_TRUE(tracker_.vmListed(list(true), clock_.now()).empty());
    EXPECT_TRUE(tracker_.isLeaving(engine_));
}

TEST_F(LeavingTrackerTest, ALaggingReportDoesNotRevokeAnAnnouncement)
{
    tracker_.announcementReceived(engine_, clock_.now());
    clock_.advance(std::chrono::seconds(5));
    EXPECT_EQ(tracker_.reportReceived(report(false), clock_.now()), std::nullopt);
    EXPECT_TRUE(tracker_.isLeaving(engine_));
    clock_.advance(std::chrono::seconds(60));
    EXPECT_EQ(tracker_.reportReceived(report(false), clock_.now()), (LeavingNotice { engine_, false }));
}

TEST_F(LeavingTrackerTest, TheReportingSourceMayRevokeItsReport)
{
    tracker_.reportReceived(report(true), clock_.now());
    EXPECT_TRUE(tracker_.vmListed(list(false), clock_.now()).empty());
    EXPECT_EQ(tracker_.reportReceived(report(false), clock_.now()), (LeavingNotice { engine_, false }));
    EXPECT_FALSE(tracker_.isLeaving(engine_));
}

TEST_F(LeavingTrackerTest, AReportDoesNotRevokeWhatTheVmListStillStates)
{
    tracker_.vmListed(list(true), clock_.now());
    clock_.advance(std::chrono::minutes(2));
    EXPECT_EQ(tracker_.reportReceived(report(false), clock_.now()), std::nullopt);
    EXPECT_EQ(tracker_.vmListed(list(false), clock_.now()).size(), 1u);
}

} // namespace
} // namespace GeraniumLever
