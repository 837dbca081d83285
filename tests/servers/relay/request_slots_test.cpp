#include "servers/relay/request_slots.h"

#include <algorithm>
#include <vector>

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

FleetTime at(Duration time)
{
    return FleetTime(time);
}

TEST(RequestSlotsTest, NodesOwnTheSlotsInTurn)
{
    constexpr std::size_t Nodes = 3;
    std::vector<std::int64_t> owned;
    for (std::size_t position = 0; position < Nodes; ++position) {
        owned.push_back(RequestSlots(2.0, Nodes, position).firstUsable(at(seconds(100)), 0));
    }
    std::sort(owned.begin(), owned.end());
    EXPECT_EQ(owned, (std::vector<std::int64_t> { 198, 199, 200 })) << "begun 1 s, 0.5 s and 0 s ago";
}

TEST(RequestSlotsTest, SlotIsUsableForItsLifetimeAndOnce)
{
    const RequestSlots slots(1.0, 10, 4);
    EXPECT_EQ(slots.firstUsable(at(milliseconds(104'000)), 0), 104);
    EXPECT_EQ(slots.countBegun(104, at(milliseconds(104'000))), 1U);
    EXPECT_EQ(slots.firstUsable(at(milliseconds(105'499)), 0), 104);
    EXPECT_EQ(slots.endOf(104), at(milliseconds(105'500)));
    EXPECT_EQ(slots.firstUsable(at(milliseconds(105'500)), 0), 114);
    EXPECT_EQ(slots.firstUsable(at(milliseconds(104'000)), 104), 114) << "used";
    EXPECT_EQ(slots.countBegun(114, at(milliseconds(104'000))), 0U);
}

TEST(RequestSlotsTest, HighRateGivesANodeSeveralSlotsAtATime)
{
    const RequestSlots slots(40.0, 4, 1);
    const std::int64_t first = slots.firstUsable(at(seconds(50)), 0);
    EXPECT_EQ(slots.countBegun(first, at(seconds(50))), 15U) << "1.5 s of 10 a second";
}

} // namespace
} // namespace GeraniumLever
