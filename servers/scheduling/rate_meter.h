/** Event rate, averaged over the recent past. */
#pragma once

#include "core/core.h"

namespace GeraniumLever {

/** Exponentially decaying average of events per second. */
class RateMeter
{
public:
    void add(TimePoint now);

    /** Events per second. */
    double rate(TimePoint now) const;

private:
    double decayedAt(TimePoint now) const;

    double count_ = 0.0;
    TimePoint last_;
};

} // namespace GeraniumLever
