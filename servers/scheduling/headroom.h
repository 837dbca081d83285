/** Seats that are kept free for higher tiers, so that their usual fluctuations need no pauses. */
#pragma once

#include "servers/scheduling/shard_state.h"

namespace GeraniumLever {

/** Free seats that a grant to the class must leave to the tiers above it. */
std::uint32_t headroomAbove(const ShardState &state, const ClassRank &rank, TimePoint now);

} // namespace GeraniumLever
