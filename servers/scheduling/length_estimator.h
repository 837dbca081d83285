/** Estimates output lengths by running medians per class and team. There is no estimate before the first sample. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "servers/scheduling/running_quantile.h"

#include "core/core.h"

namespace GeraniumLever {

class LengthEstimator
{
public:
    /** Records the length of a completed answer. */
    void recordLength(const ClassName &requestClass, const TeamName &team, std::uint32_t tokens);

    /** Median length in tokens of the team's answers in the class, or of all answers in the class if the team has too
     * few samples; std::nullopt if the class has none. */
    std::optional<double> median(const ClassName &requestClass, const TeamName &team) const;

private:
    /** Removes the pairs that have no more samples than the median pair. */
    void evictRarest();

    std::map<std::pair<ClassName, TeamName>, RunningQuantile> byTeam_;
    std::map<ClassName, RunningQuantile> byClass_;
};

} // namespace GeraniumLever
