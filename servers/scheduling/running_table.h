/** Attempts of one shard that hold a seat, indexed by attempt and request, and counted by upstream, class and tier. */
#pragma once

#include <map>
#include <unordered_map>
#include <vector>

#include "servers/scheduling/running_attempt.h"

namespace GeraniumLever {

class RunningTable
{
public:
    /** Adds an attempt, replacing one with the same identifier. */
    void add(RunningAttempt attempt);

    /** Removes an attempt and returns it; std::nullopt if there is none. */
    std::optional<RunningAttempt> remove(AttemptId attempt);

    const RunningAttempt *find(AttemptId attempt) const { return attempts_.find(attempt); }
    RunningAttempt *edit(AttemptId attempt) { return attempts_.edit(attempt); }

    /** The attempt of a request, or nullptr. */
    const RunningAttempt *findByRequest(RequestId request) const;

    /** Number of attempts at an upstream. */
    std::uint32_t countAt(const UpstreamName &upstream) const;

    /** Number of attempts of higher tiers (lower tier numbers) than the given one. */
    std::uint32_t countAbove(std::uint32_t tier) const;

    /** Number of attempts by class. */
    const std::map<ClassName, std::uint32_t> &countsByClass() const { return countsByClass_; }

    /** True if there is an attempt of a lower tier than the given one whose class may be paused. */
    bool hasPreemptibleBelow(std::uint32_t tier) const;

    const Table<AttemptId, RunningAttempt> &attempts() const { return attempts_; }
    std::size_t size() const { return attempts_.size(); }

private:
    /** Adds change, which is 1 or -1, to all counts that include the attempt. */
    void updateCounts(const RunningAttempt &attempt, std::int32_t change);

    Table<AttemptId, RunningAttempt> attempts_;
    std::unordered_map<RequestId, AttemptId> byRequest_;
    std::unordered_map<UpstreamName, std::uint32_t> countsByUpstream_;
    std::map<ClassName, std::uint32_t> countsByClass_;
    std::map<std::uint32_t, std::uint32_t> countsByTier_;
    std::map<std::uint32_t, std::uint32_t> preemptibleByTier_;
};

} // namespace GeraniumLever
