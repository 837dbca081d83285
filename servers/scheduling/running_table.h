/** Attempts of one shard that hold a seat, by attempt, by request and by upstream. */
#pragma once

#include <unordered_map>
#include <vector>

#include "servers/scheduling/running_attempt.h"

namespace GeraniumLever {

class RunningTable
{
public:
    void add(RunningAttempt attempt);

    /** The removed attempt, or nothing if it is not there. */
    std::optional<RunningAttempt> remove(AttemptId attempt);

    const RunningAttempt *find(AttemptId attempt) const { return attempts_.find(attempt); }
    RunningAttempt *edit(AttemptId attempt) { return attempts_.edit(attempt); }

    /** The attempt of a request, or nullptr. */
    const RunningAttempt *findByRequest(RequestId request) const;

    /** Number of attempts at an upstream. */
    std::uint32_t countAt(const UpstreamName &upstream) const;

    const Table<AttemptId, RunningAttempt> &attempts() const { return attempts_; }
    std::size_t size() const { return attempts_.size(); }

private:
    Table<AttemptId, RunningAttempt> attempts_;
    std::unordered_map<RequestId, AttemptId> byRequest_;
    std::unordered_map<UpstreamName, std::uint32_t> counts_;
};

} // namespace GeraniumLever
