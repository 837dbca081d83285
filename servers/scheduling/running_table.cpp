#include "servers/scheduling/running_table.h"

namespace GeraniumLever {

void RunningTable::add(RunningAttempt attempt)
{
    remove(attempt.attempt);
    byRequest_[attempt.request] = attempt.attempt;
    ++counts_[attempt.upstream];
    ++countsByTier_[attempt.tier];
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
    --countsByTier_[removed.tier];
    if (--counts_[removed.upstream] == 0) {
        counts_.erase(removed.upstream);
    }
    return removed;
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
    const std::unordered_map<UpstreamName, std::uint32_t>::const_iterator found = counts_.find(upstream);
    return found == counts_.end() ? 0 : found->second;
}

} // namespace GeraniumLever
