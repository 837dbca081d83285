/** Expected waits, from the measured seat times, arrivals and grants of the classes. */
#pragma once

#include "servers/scheduling/shard_state.h"

namespace GeraniumLever {

/** Seconds until the shard can grant a seat to a request that has the given number of requests of its own class and
 * group ahead of it; nothing if too little has been measured. Lower tiers are taken to give way. */
std::optional<double> expectedWait(const ShardState &state, const ClassRank &rank, std::size_t ahead, TimePoint now);

/** How long a new request may wait for a seat and still meet its target for the first token. */
Duration lastChance(const ShardState &state, const SlotRequest &request, const RequestClass &requestClass);

/** Seats per second that running attempts are expected to free; 0 if nothing has been measured. */
double releaseRate(const ShardState &state);

/** When a refused request of the class should come again: the time in which the class's queue drains, with jitter. */
Duration retryAfter(ShardState &state, const ClassName &requestClass, TimePoint now);

} // namespace GeraniumLever
