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

    /** Notes that the pool had room for one more request. */
    void noteServed(TimePoint now);

    /** ahead: requests that wait before the caller's. timeLeft: how long the caller will still wait. */
    Duration after(std::size_t ahead, Duration timeLeft, TimePoint now);

private:
    RandomSource random_;
    /** Smoothed time between two requests that get an upstream. */
    Duration interval_ { 0 };
    TimePoint lastServed_;
};

} // namespace GeraniumLever
