#include "servers/scheduling/speed_model.h"

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;

TEST(SpeedModelTest, RegressionOverLargeBatchesDoesNotMakeAnIdleUpstreamLookSlow)
{
    SpeedModel speeds;
    const UpstreamName steady("steady");
    const UpstreamName other("other");
    // Gaps rise steeply between batch sizes 4 and 6, as when an engine's queue grows. An unrestricted line through
    // these points would be negative at batch size 1.
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
