/** Histogram of durations. */
#pragma once

#include <cstdint>
#include <tuple>
#include <vector>

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include "core/core.h"

namespace GeraniumLever {

/** Cumulative number of values up to a bound. */
struct HistogramBucket
{
    /** In seconds; infinite for the last bucket. */
    double upperBound = 0;
    /** Number of values in this bucket and all lower ones. */
    std::uint64_t cumulativeCount = 0;

    auto operator<=>(const HistogramBucket &) const = default;
};

class LatencyHistogram
{
public:
    LatencyHistogram();

    /** Negative durations count as zero. */
    void record(Duration duration);

    /** In ascending order of bounds; the last bucket counts every value. */
    std::vector<HistogramBucket> buckets() const;

    Duration sum() const { return sum_; }

private:
    using Axis = boost::histogram::axis::variable<>;
    using Storage = boost::histogram::dense_storage<std::uint64_t>;

    boost::histogram::histogram<std::tuple<Axis>, Storage> histogram_;
    Duration sum_ { 0 };
};

} // namespace GeraniumLever
