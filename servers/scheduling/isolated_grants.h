/** Grants of a scheduler that is cut off from the other nodes of its data centre. */
#pragma once

#include "servers/scheduling/shard_state.h"

namespace GeraniumLever {

/** Grants seats to waiting requests of the catalog's highest tier beyond the node's share of the seats, and beside work
 * of other schedulers that the reports show, up to each upstream's number of seats. The overlap of two schedulers is
 * thus bounded by twice the seats, and since engines honour priorities, the highest tier never waits for lower ones
 * that another scheduler has seated. Does nothing while the node has all seats. */
void grantAlone(ShardState &state, TimePoint now, Commands &commands);

} // namespace GeraniumLever
