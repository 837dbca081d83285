/** Output lengths as running medians per class and team; nothing is assumed before something has been observed. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "core/core.h"

namespace GeraniumLever {

/** A median that follows its samples by small multiplicative steps. */
class RunningMedian
{
public:
    void add(double sample);
    double value() const { return value_; }
    std::uint64_t samples() const { return samples_; }

private:
    double value_ = 0.0;
    std::uint64_t samples_ = 0;
};

class LengthEstimator
{
public:
    /** Learns from an answer that was completed. */
    void note(const ClassName &requestClass, const TeamName &team, std::uint32_t tokens);

    /** Median length of the team's answers in the class, else of the class; nothing if none has been seen. */
    std::optional<double> median(const ClassName &requestClass, const TeamName &team) const;

private:
    void dropRarest();

    std::map<std::pair<ClassName, TeamName>, RunningMedian> byTeam_;
    std::map<ClassName, RunningMedian> byClass_;
};

} // namespace GeraniumLever
