#include "drivers/metrics/latency_histogram.h"

#include <algorithm>
#include <limits>

namespace GeraniumLever {

namespace {

/** Bucket bounds in seconds. Finer in the ranges of inter-token latency and time to first token. */
constexpr double Bounds[] = { 0,    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.04, 0.05, 0.075, 0.1, 0.15,
                              0.25, 0.4,    0.6,   0.8,   1,     1.5,  2,    3,    5,    10,   20,    40,  80 };

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

LatencyHistogram::LatencyHistogram() : histogram_(Axis(std::begin(Bounds), std::end(Bounds))) { }

void LatencyHistogram::record(Duration duration)
{
    const Duration counted = std::max(duration, Duration(0));
    histogram_(toSeconds(counted));
    sum_ += counted;
}

std::vector<HistogramBucket> LatencyHistogram::buckets() const
{
    std::vector<HistogramBucket> buckets;
    std::uint64_t count = 0;
    const Axis &axis = histogram_.axis();
    for (int index = 0; index < axis.size(); ++index) {
        count += histogram_.at(index);
        buckets.push_back(HistogramBucket { axis.bin(index).upper(), count });
    }
    count += histogram_.at(axis.size());
    buckets.push_back(HistogramBucket { std::numeric_limits<double>::infinity(), count });
    return buckets;
}

} // namespace GeraniumLever
