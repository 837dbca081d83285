/** Seeded random numbers. Every component gets its source from outside, so that a seed fixes a whole run. */
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

    /** The engine itself, for the standard library's distributions. */
    std::mt19937_64 &engine() { return engine_; }

private:
    std::mt19937_64 engine_;
};

} // namespace GeraniumLever
