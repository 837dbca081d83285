/** Streaming estimate of a quantile that moves by small multiplicative steps and uses constant memory. */
#pragma once

#include <cstdint>

namespace GeraniumLever {

class RunningQuantile
{
public:
    /** quantile: fraction of the samples that lie below the estimate, in (0, 1). */
    explicit RunningQuantile(double quantile = 0.5) : quantile_(quantile) { }

    /** Adds a positive sample. The estimate never falls below 1. */
    void add(double sample);

    /** 0 if there are no samples. */
    double value() const { return value_; }
    std::uint64_t samples() const { return samples_; }

private:
    double quantile_;
    double value_ = 0.0;
    std::uint64_t samples_ = 0;
};

} // namespace GeraniumLever
