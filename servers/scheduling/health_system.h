/** Tracks the speed and health of upstreams from the progress and the ends of their attempts. */
#pragma once

#include "servers/scheduling/shard_state.h"

namespace GeraniumLever {

/** Records the time to first token and the token gap from a progress report, and updates the attempt. */
void recordProgress(ShardState &state, const AttemptProgress &progress, TimePoint now);

/** Updates failure counts, speeds, seat times and answer lengths from an attempt that has just been removed. */
void recordEnd(ShardState &state, const RunningAttempt &attempt, const AttemptEnd &end, TimePoint now);

/** Ejects upstreams that are far slower than the shard's median, but never more than half of the shard's upstreams, and
 * readmits those that have become fast enough. */
void updateEjections(ShardState &state, TimePoint now, Commands &commands);

/** Sends one waiting request of the lowest tier as a probe to each idle ejected upstream whose probe is due. Requests
 * of tier 0 are never used. */
void probeEjected(ShardState &state, TimePoint now, Commands &commands);

} // namespace GeraniumLever
