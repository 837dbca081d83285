/** Seeded random numbers. Components receive their source from the caller, so that a run is reproducible from its seed.
 */
#pragma once

#include <cstdint>
#include <random>

#include "core/clock.h"

namespace GeraniumLever {

class RandomSource
{
public:
    explicit RandomSource(std::uint64_t seed);

    /** Uniform in [0, bound); 0 if bound is 0. */
    std::uint64_t below(std::uint64_t bound);

    /** Uniform in [0, 1). */
    double fraction();

    /** The duration scaled by a uniform factor in [1 - spread, 1 + spread], spread in [0, 1]. */
    Duration jittered(Duration duration, double spread);

    /** The underlying engine, for distributions of the standard library. */
    std::mt19937_64 &engine() { return engine_; }

private:
    std::mt19937_64 engine_;
};

} // namespace GeraniumLever
