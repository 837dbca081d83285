#include "servers/scheduling/running_table.h"

namespace GeraniumLever {

void RunningTable::add(RunningAttempt attempt)
{
    remove(attempt.attempt);
    byRequest_[attempt.request] = attempt.attempt;
    ++counts_[attempt.upstream];
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

std::uint32_t RunningTable::countAt(const UpstreamName &upstream) const
{
    const std::unordered_map<UpstreamName, std::uint32_t>::const_iterator found = counts_.find(upstream);
    return found == counts_.end() ? 0 : found->second;
}

} // namespace GeraniumLever
