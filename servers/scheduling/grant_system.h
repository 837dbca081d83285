/** Grants free seats to waiting requests. */
#pragma once

#include "servers/scheduling/shard_state.h"

namespace GeraniumLever {

/** Grants seats until none is free or no waiting request can take one. Guarantees that are due come first, then
 * requests in tier order. */
void grantFreeSeats(ShardState &state, TimePoint now, Commands &commands);

} // namespace GeraniumLever
