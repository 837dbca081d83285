#include "servers/scheduling/running_table.h"

namespace GeraniumLever {

void RunningTable::add(RunningAttempt attempt)
{
    remove(attempt.attempt);
    byRequest_[attempt.request] = attempt.attempt;
    updateCounts(attempt, 1);
    const AttemptId id = attempt.attempt;
    attempts_.put(id, std::move(attempt));
}

std::optional<RunningAttempt> RunningTable::remove(AttemptId attempt)
{
    const RunningAttempt *found = attempts_.find(attempt);
    if (found == nullptr) {
        return std::nullopt;
    }
    RunningAttempt removed = *found;
    attempts_.erase(attempt);
    const std::unordered_map<RequestId, AttemptId>::iterator request = byRequest_.find(removed.request);
    if (request != byRequest_.end() && request->second == attempt) {
        byRequest_.erase(request);
    }
    updateCounts(removed, -1);
    return removed;
}

void RunningTable::updateCounts(const RunningAttempt &attempt, std::int32_t change)
{
    countsByUpstream_[attempt.upstream] += static_cast<std::uint32_t>(change);
    countsByClass_[attempt.requestClass] += static_cast<std::uint32_t>(change);
    countsByTier_[attempt.tier] += static_cast<std::uint32_t>(change);
    preemptibleByTier_[attempt.tier] += attempt.preemptible ? static_cast<std::uint32_t>(change) : 0;
    // Upstreams and classes come and go with the catalog, so entries with a count of 0 are removed.
    if (countsByUpstream_[attempt.upstream] == 0) {
        countsByUpstream_.erase(attempt.upstream);
    }
    if (countsByClass_[attempt.requestClass] == 0) {
        countsByClass_.erase(attempt.requestClass);
    }
}

bool RunningTable::hasPreemptibleBelow(std::uint32_t tier) const
{
    for (const auto &[other, attempts] : preemptibleByTier_) {
        if (other > tier && attempts > 0) {
            return true;
        }
    }
    return false;
}

const RunningAttempt *RunningTable::findByRequest(RequestId request) const
{
    const std::unordered_map<RequestId, AttemptId>::const_iterator found = byRequest_.find(request);
    return found == byRequest_.end() ? nullptr : attempts_.find(found->second);
}

std::uint32_t RunningTable::countAbove(std::uint32_t tier) const
{
    std::uint32_t count = 0;
    for (const auto &[other, attempts] : countsByTier_) {
        count += other < tier ? attempts : 0;
    }
    return count;
}

std::uint32_t RunningTable::countAt(const UpstreamName &upstream) const
{
    const std::unordered_map<UpstreamName, std::uint32_t>::const_iterator found = countsByUpstream_.find(upstream);
    return found == countsByUpstream_.end() ? 0 : found->second;
}

} // namespace GeraniumLever
