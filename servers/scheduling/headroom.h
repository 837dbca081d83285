/** Seats kept free for higher tiers, so that the usual variation of their demand does not cause preemption. */
#pragma once

#include "servers/scheduling/shard_state.h"

namespace GeraniumLever {

/** Number of free seats that must remain for higher tiers; the class may get a seat only if more are free. */
std::uint32_t headroomAbove(const ShardState &state, const ClassRank &rank, TimePoint now);

} // namespace GeraniumLever
