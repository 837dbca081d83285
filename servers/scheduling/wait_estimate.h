/** Estimates of waiting times from the measured seat times, arrival rates and grant rates of the classes. */
#pragma once

#include "servers/scheduling/shard_state.h"

namespace GeraniumLever {

/** Expected wait for a seat, linear in the number of requests of the same class and service group that are ahead. */
struct LinearWaitEstimate
{
    double baseSeconds = 0.0;
    double secondsPerRequest = 0.0;

    /** The expected wait in seconds behind the given number of requests. */
    double at(std::size_t ahead) const { return baseSeconds + secondsPerRequest * static_cast<double>(ahead); }

    auto operator<=>(const LinearWaitEstimate &) const = default;
};

/** The expected wait of a class in a service group; std::nullopt if too little has been measured. Assumes that lower
 * tiers do not delay it. */
std::optional<LinearWaitEstimate> expectedWait(const ShardState &state, const ClassRank &rank, TimePoint now);

/** The expected wait of a class that gets only its guaranteed seats; std::nullopt if it has no guarantee or too little
 * has been measured. */
std::optional<LinearWaitEstimate> guaranteedWait(const ShardState &state, const ClassRank &rank, TimePoint now);

/** How long a new request may wait for a seat and still meet its first-token target; 0 if it cannot meet it. */
Duration maxOnTimeWait(const ShardState &state, const SlotRequest &request, const RequestClass &requestClass);

/** Seats per second that running attempts are expected to free; 0 if no seat time has been measured. */
double releaseRate(const ShardState &state);

/** Delay after which a refused request of the class should be retried: the time in which the class's queue drains, with
 * jitter. */
Duration retryAfter(ShardState &state, const ClassName &requestClass, TimePoint now);

} // namespace GeraniumLever
