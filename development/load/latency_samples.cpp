#include "development/load/latency_samples.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace GeraniumLever {

Duration LatencySamples::percentile(double share) const
{
    if (samples_.empty()) {
        return Duration(0);
    }
    std::vector<Duration> sorted = samples_;
    const double rank = std::ceil(share * static_cast<double>(sorted.size()));
    const std::size_t index = std::min(sorted.size() - 1, static_cast<std::size_t>(std::max(rank, 1.0)) - 1);
    const std::vector<Duration>::iterator nth = sorted.begin() + static_cast<std::ptrdiff_t>(index);
    std::nth_element(sorted.begin(), nth, sorted.end());
    return *nth;
}

std::string LatencySamples::summary() const
{
    constexpr double Median = 0.5;
    constexpr double High = 0.99;
    return "p50=" + formatMilliseconds(percentile(Median)) + "ms p99=" + formatMilliseconds(percentile(High)) + "ms";
}

std::string formatMilliseconds(Duration duration)
{
    constexpr int Decimals = 3;
    std::ostringstream text;
    text << std::fixed << std::setprecision(Decimals) << std::chrono::duration<double, std::milli>(duration).count();
    return text.str();
}

} // namespace GeraniumLever
