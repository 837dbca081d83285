#include "servers/scheduling/length_estimator.h"

#include <algorithm>
#include <vector>

namespace GeraniumLever {

namespace {

/** Samples that a team needs before its own median is used instead of that of the class. */
constexpr std::uint64_t MinTeamSamples = 5;

/** Maximum number of (class, team) pairs with a median of their own. */
constexpr std::size_t MaxPairs = 4096;

} // namespace

void LengthEstimator::recordLength(const ClassName &requestClass, const TeamName &team, std::uint32_t tokens)
{
    byClass_[requestClass].add(tokens);
    byTeam_[{ requestClass, team }].add(tokens);
    if (byTeam_.size() > MaxPairs) {
        evictRarest();
    }
}

void LengthEstimator::evictRarest()
{
    std::vector<std::uint64_t> counts;
    counts.reserve(byTeam_.size());
    for (const auto &[key, median] : byTeam_) {
        counts.push_back(median.samples());
    }
    const std::vector<std::uint64_t>::iterator middle =
        counts.begin() + static_cast<std::vector<std::uint64_t>::difference_type>(counts.size() / 2);
    std::nth_element(counts.begin(), middle, counts.end());
    const std::uint64_t limit = *middle;
    std::erase_if(byTeam_, [limit](const std::pair<const std::pair<ClassName, TeamName>, RunningQuantile> &entry) {
        return entry.second.samples() <= limit;
    });
}

std::optional<double> LengthEstimator::median(const ClassName &requestClass, const TeamName &team) const
{
    const std::map<std::pair<ClassName, TeamName>, RunningQuantile>::const_iterator own =
        byTeam_.find({ requestClass, team });
    if (own != byTeam_.end() && own->second.samples() >= MinTeamSamples) {
        return own->second.value();
    }
    const std::map<ClassName, RunningQuantile>::const_iterator all = byClass_.find(requestClass);
    if (all == byClass_.end()) {
        return std::nullopt;
    }
    return all->second.value();
}

} // namespace GeraniumLever
