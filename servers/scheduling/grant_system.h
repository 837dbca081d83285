/** Gives free seats to waiting requests. */
#pragma once

#include "servers/scheduling/shard_state.h"

namespace GeraniumLever {

/** Grants until no seat is free or nothing that waits can take one: first the guarantees that are due, then by tier. */
void grantFreeSeats(ShardState &state, TimePoint now, Commands &commands);

} // namespace GeraniumLever
