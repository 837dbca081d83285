/** Distribution of durations. */
#pragma once

#include <cstdint>
#include <tuple>
#include <vector>

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include "core/core.h"

namespace GeraniumLever {

/** Number of values up to a bound. */
struct HistogramBucket
{
    /** In seconds; infinite for the last bucket. */
    double upperBound = 0;
    /** Values of this bucket and of all below it. */
    std::uint64_t cumulativeCount = 0;

    auto operator<=>(const HistogramBucket &) const = default;
};

class LatencyHistogram
{
public:
    LatencyHistogram();

    /** Negative durations count as zero. */
    void record(Duration duration);

    /** Lowest bound first; the last one holds every value. */
    std::vector<HistogramBucket> buckets() const;

    Duration sum() const { return sum_; }

private:
    using Axis = boost::histogram::axis::variable<>;
    using Storage = boost::histogram::dense_storage<std::uint64_t>;

    boost::histogram::histogram<std::tuple<Axis>, Storage> histogram_;
    Duration sum_ { 0 };
};

} // namespace GeraniumLever
