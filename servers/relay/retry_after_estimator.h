/** Retry-after times for rejected callers. */
#pragma once

#include "core/core.h"

namespace GeraniumLever {

/** Keeps rejected callers from returning all at once: the retry-after time grows with the queue and has random
 *  jitter. */
class RetryAfterEstimator
{
public:
    explicit RetryAfterEstimator(std::uint64_t seed) : random_(seed) { }

    /** Records that a waiting request was dispatched. waitedSince: when it began to wait. */
    void noteServed(TimePoint waitedSince, TimePoint now);

    /** Expected wait of a request behind this many others, based on the recent time between dispatches from the
     *  queue. */
    Duration expectedWait(std::size_t ahead) const;

    /** Time after which the caller should retry. ahead: requests that wait before the caller's. timeLeft: how long the
     *  caller will still wait. */
    Duration retryAfter(std::size_t ahead, Duration timeLeft);

    /** The same for a caller that no queue holds a place for: any time that it can spare, so that callers come back
     *  evenly. */
    Duration spread(Duration timeLeft);

private:
    RandomSource random_;
    /** Smoothed time between two dispatches while requests were waiting. */
    Duration serveInterval_ { 0 };
    TimePoint lastServedAt_;
};

} // namespace GeraniumLever
