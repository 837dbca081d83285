/** Learns from the progress and the ends of attempts how fast and how healthy the upstreams are. */
#pragma once

#include "servers/scheduling/shard_state.h"

namespace GeraniumLever {

/** Learns the first-token time and the token gap from a progress report, and keeps it with the attempt. */
void recordProgress(ShardState &state, const AttemptProgress &progress, TimePoint now);

/** Learns from an attempt that has just been removed. */
void recordEnd(ShardState &state, const RunningAttempt &attempt, const AttemptEnd &end, TimePoint now);

/** Ejects upstreams that are far slower than the shard's median, never more than half of them; readmits others. */
void updateEjections(ShardState &state, TimePoint now, Commands &commands);

/** Sends a waiting request of a low tier to each ejected upstream whose probe is due. */
void probeEjected(ShardState &state, TimePoint now, Commands &commands);

} // namespace GeraniumLever
