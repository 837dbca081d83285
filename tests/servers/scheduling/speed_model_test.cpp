#include "servers/scheduling/speed_model.h"

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;

TEST(SpeedModelTest, ALineThroughLargeBatchesDoesNotMakeAnIdleEngineLookSlow)
{
    SpeedModel speeds;
    const UpstreamName steady("steady");
    const UpstreamName other("other");
    // Steep between four and six, as when an engine's queue grows: the line through these falls below zero at one.
    for (int i = 0; i < 10; ++i) {
        speeds.recordTokenGap(steady, 6, milliseconds(120));
        speeds.recordTokenGap(other, 4, milliseconds(40));
    }
    for (int i = 0; i < 10; ++i) {
        speeds.recordTokenGap(other, 1, milliseconds(20));
    }
    EXPECT_LT(speeds.slowness(other), 2.5);
    EXPECT_LT(speeds.slowness(steady), 2.5);
}

} // namespace
} // namespace GeraniumLever
