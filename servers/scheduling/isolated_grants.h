/** Grants by a scheduler that is cut off from the other nodes of its data centre. */
#pragma once

#include "servers/scheduling/shard_state.h"

namespace GeraniumLever {

/** Grants seats to waiting requests of the catalog's highest tier, up to each upstream's full number of seats: neither
 * the node's seat share nor the work of other schedulers that the load reports show limits these grants. Two schedulers
 * can therefore load an upstream with at most twice its seats. Engines honour priorities, so the highest tier never
 * waits for lower-tier work that another scheduler granted. Does nothing while the node may use all seats. */
void grantHighestTierBeyondShare(ShardState &state, TimePoint now, Commands &commands);

} // namespace GeraniumLever
