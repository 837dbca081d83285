/** Exact percentiles of a bounded number of durations. */
#pragma once

#include <string>
#include <vector>

#include "core/core.h"

namespace GeraniumLever {

class LatencySamples
{
public:
    void record(Duration duration) { samples_.push_back(duration); }
    std::size_t count() const { return samples_.size(); }

    /** The value that the given share of the samples does not exceed; zero without samples. */
    Duration percentile(double share) const;

    /** "p50=1.234ms p99=5.678ms". */
    std::string summary() const;

private:
    std::vector<Duration> samples_;
};

/** Milliseconds with three decimals. */
std::string formatMilliseconds(Duration duration);

} // namespace GeraniumLever
