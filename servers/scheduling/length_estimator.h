/** Output lengths as running medians per class and team; nothing is assumed before something has been observed. */
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
    /** Learns from an answer that was completed. */
    void recordLength(const ClassName &requestClass, const TeamName &team, std::uint32_t tokens);

    /** Median length of the team's answers in the class, else of the class; nothing if none has been seen. */
    std::optional<double> median(const ClassName &requestClass, const TeamName &team) const;

private:
    void evictRarest();

    std::map<std::pair<ClassName, TeamName>, RunningQuantile> byTeam_;
    std::map<ClassName, RunningQuantile> byClass_;
};

} // namespace GeraniumLever
