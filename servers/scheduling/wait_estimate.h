/** Expected waits, from the measured seat times, arrivals and grants of the classes. */
#pragma once

#include "servers/scheduling/shard_state.h"

namespace GeraniumLever {

/** Expected wait in seconds as a line over the number of requests of the own class and group that are ahead. */
struct LinearWaitEstimate
{
    double baseSeconds = 0.0;
    double secondsPerRequest = 0.0;

    double at(std::size_t ahead) const { return baseSeconds + secondsPerRequest * static_cast<double>(ahead); }

    auto operator<=>(const LinearWaitEstimate &) const = default;
};

/** The expected wait of a class and group; nothing if too little has been measured. Lower tiers are taken to give way.
 */
std::optional<LinearWaitEstimate> expectedWait(const ShardState &state, const ClassRank &rank, TimePoint now);

/** The wait of a class that gets no seats but its guaranteed ones; nothing if it has none or too little has been
 * measured.
 */
std::optional<LinearWaitEstimate> guaranteedWait(const ShardState &state, const ClassRank &rank, TimePoint now);

/** How long a new request may wait for a seat and still meet its target for the first token. */
Duration maxOnTimeWait(const ShardState &state, const SlotRequest &request, const RequestClass &requestClass);

/** Seats per second that running attempts are expected to free; 0 if nothing has been measured. */
double releaseRate(const ShardState &state);

/** When a refused request of the class should come again: the time in which the class's queue drains, with jitter. */
Duration retryAfter(ShardState &state, const ClassName &requestClass, TimePoint now);

} // namespace GeraniumLever
