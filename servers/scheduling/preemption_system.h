/** Pauses running attempts of lower tiers for requests that would otherwise miss their target. */
#pragma once

#include "servers/scheduling/shard_state.h"

namespace GeraniumLever {

/** Pauses one attempt of a lower tier for the waiting request; false if there is none that may be paused. */
bool pauseAttemptFor(ShardState &state, const WaitingRequest &waiting, TimePoint now, Commands &commands);

/** Pauses as many attempts as there are waiting requests that would miss their target. */
void pauseForHigherTiers(ShardState &state, TimePoint now, Commands &commands);

} // namespace GeraniumLever
