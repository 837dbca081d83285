#include "servers/scheduling/running_quantile.h"

#include <algorithm>
#include <cmath>

namespace GeraniumLever {

namespace {

/** Logarithm of the ratio between the estimates after a larger and after a smaller sample. */
constexpr double LogStep = 0.1;

/** Until there are this many samples, steps are larger by WarmUpFactor, so that the estimate converges quickly. */
constexpr std::uint64_t WarmUpSamples = 10;
constexpr double WarmUpFactor = 4.0;

} // namespace

void RunningQuantile::add(double sample)
{
    ++samples_;
    if (samples_ == 1) {
        value_ = std::max(sample, 1.0);
        return;
    }
    const double step = samples_ < WarmUpSamples ? LogStep * WarmUpFactor : LogStep;
    const double exponent = sample > value_ ? step * quantile_ : -step * (1.0 - quantile_);
    value_ = std::max(1.0, value_ * std::exp(exponent));
}

} // namespace GeraniumLever
