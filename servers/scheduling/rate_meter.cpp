#include "servers/scheduling/rate_meter.h"

#include <cmath>

namespace GeraniumLever {

namespace {

constexpr double TimeConstantSeconds = 10.0;

} // namespace

double RateMeter::decayedAt(TimePoint now) const
{
    const double seconds = std::chrono::duration<double>(now - last_).count();
    return count_ * std::exp(-seconds / TimeConstantSeconds);
}

void RateMeter::add(TimePoint now)
{
    count_ = decayedAt(now) + 1.0;
    last_ = now;
}

double RateMeter::rate(TimePoint now) const
{
    return decayedAt(now) / TimeConstantSeconds;
}

} // namespace GeraniumLever
