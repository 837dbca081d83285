/** Preemption: pauses lower-tier attempts for requests that would otherwise miss their first-token target. */
#pragma once

#include "servers/scheduling/shard_state.h"

namespace GeraniumLever {

/** Asks the ingress of one lower-tier attempt to pause it for the waiting request; false if none may be paused. */
bool pauseAttemptFor(ShardState &state, const WaitingRequest &waiting, TimePoint now, Commands &commands);

/** Pauses one lower-tier attempt for each waiting request that would miss its target or deadline, as far as there are
 * attempts that may be paused. */
void pauseForHigherTiers(ShardState &state, TimePoint now, Commands &commands);

} // namespace GeraniumLever
