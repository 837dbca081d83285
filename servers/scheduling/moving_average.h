/** Exponentially weighted moving average that also counts its samples. */
#pragma once

#include <algorithm>
#include <cstdint>

namespace GeraniumLever {

class MovingAverage
{
public:
    /** minSampleWeight: weight of a new sample once there are many, in (0, 1]. */
    explicit MovingAverage(double minSampleWeight) : minSampleWeight_(minSampleWeight) { }

    /** Adds a sample. The first samples get equal weights, so that the first one does not dominate. */
    void add(double sample)
    {
        ++samples_;
        const double weight = std::max(minSampleWeight_, 1.0 / static_cast<double>(samples_));
        value_ += weight * (sample - value_);
    }

    /** 0 if there are no samples. */
    double value() const { return value_; }
    std::uint64_t samples() const { return samples_; }

    bool operator==(const MovingAverage &) const = default;

private:
    double minSampleWeight_;
    double value_ = 0.0;
    std::uint64_t samples_ = 0;
};

} // namespace GeraniumLever
