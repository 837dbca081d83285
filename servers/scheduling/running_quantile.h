/** A quantile that follows its samples by small multiplicative steps, in constant memory. */
#pragma once

#include <cstdint>

namespace GeraniumLever {

class RunningQuantile
{
public:
    /** quantile: share of the samples that lie below the value, in (0, 1). */
    explicit RunningQuantile(double quantile = 0.5) : quantile_(quantile) { }

    /** Takes a positive sample. */
    void add(double sample);

    /** 0 as long as there are no samples. */
    double value() const { return value_; }
    std::uint64_t samples() const { return samples_; }

private:
    double quantile_;
    double value_ = 0.0;
    std::uint64_t samples_ = 0;
};

} // namespace GeraniumLever
