#include "core/random_source.h"

namespace GeraniumLever {

RandomSource::RandomSource(std::uint64_t seed) : engine_(seed) { }

std::uint64_t RandomSource::below(std::uint64_t bound)
{
    if (bound == 0) {
        return 0;
    }
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(engine_);
}

double RandomSource::fraction()
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(engine_);
}

Duration RandomSource::jittered(Duration duration, double spread)
{
    const double factor = 1.0 + spread * (2.0 * fraction() - 1.0);
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

} // namespace GeraniumLever
