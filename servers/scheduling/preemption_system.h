/** Pauses running attempts of lower tiers for requests that would otherwise miss their target. */
#pragma once

#include "servers/scheduling/shard_state.h"

namespace GeraniumLever {

void pauseForHigherTiers(ShardState &state, TimePoint now, Commands &commands);

} // namespace GeraniumLever
