/** When a refused caller should come back. */
#pragma once

#include "core/core.h"

namespace GeraniumLever {

/** Answers a rush of refused callers: the time grows with what waits, and is spread, so that they do not return
 *  together. */
class ReturnTime
{
public:
    explicit ReturnTime(std::uint64_t seed) : random_(seed) { }

    /** Notes that a waiting request got an upstream. waitedSince: when it began to wait. */
    void noteServed(TimePoint waitedSince, TimePoint now);

    /** How long a request behind so many others will wait, by the time between those that got an upstream lately. */
    Duration expectedWait(std::size_t ahead) const;

    /** ahead: requests that wait before the caller's. timeLeft: how long the caller will still wait. */
    Duration after(std::size_t ahead, Duration timeLeft);

private:
    RandomSource random_;
    /** Smoothed time between two requests that got an upstream while others waited. */
    Duration interval_ { 0 };
    TimePoint lastServed_;
};

} // namespace GeraniumLever
