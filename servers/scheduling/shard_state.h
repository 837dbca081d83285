/** All tables of one shard. The systems of this package read and modify them; the state itself contains no policy. */
#pragma once

#include "servers/scheduling/attempt_issuer.h"
#include "servers/scheduling/class_estimates.h"
#include "servers/scheduling/guarantee_credits.h"
#include "servers/scheduling/length_estimator.h"
#include "servers/scheduling/prefix_table.h"
#include "servers/scheduling/retry_budget.h"
#include "servers/scheduling/running_table.h"
#include "servers/scheduling/speed_model.h"
#include "servers/scheduling/upstream_state.h"
#include "servers/scheduling/waiting_queue.h"

namespace GeraniumLever {

struct ShardState
{
    ShardState(ShardKey key, AttemptIssuer &attemptIssuer) : shard(std::move(key)), issuer(attemptIssuer) { }

    /** Adds an attempt to the running table and to the counts of its upstream. */
    void addAttempt(RunningAttempt attempt, TimePoint now);

    /** Removes an attempt from the running table and from the counts of its upstream; std::nullopt if there is none. */
    std::optional<RunningAttempt> removeAttempt(AttemptId attempt, TimePoint now);

    /** Removes the attempt's prompt tokens from those that its upstream still has to compute. */
    void finishPrefill(const RunningAttempt &attempt);

    /** The class, or nullptr if the catalog no longer has it. */
    const RequestClass *classOf(const ClassName &name) const { return catalog->classes().find(name); }

    /** Weight of a team in fair queuing, at least 1; 1 if the catalog does not have the team. */
    std::uint32_t weightOf(const TeamName &team) const;

    ShardKey shard;
    AttemptIssuer &issuer;
    CatalogPtr catalog = std::make_shared<const Catalog>();
    Table<UpstreamName, UpstreamState> upstreams;
    WaitingQueue queue;
    RunningTable running;
    ClassEstimates classes;
    LengthEstimator lengths;
    SpeedModel speeds;
    PrefixTable prefixes;
    GuaranteeCredits guarantees;
    RetryBudget retries;
    /** Fraction of each upstream's seats that this node may use, in (0, 1]. */
    double seatShare = 1.0;
    /** Attempts that have been asked to pause and still hold their seats. */
    std::uint32_t pausing = 0;
    /** Seats freed by paused attempts for a higher tier that have not been granted yet. */
    std::uint32_t pausedSeats = 0;
    /** Sequence number of the last queued request. */
    std::uint64_t sequence = 0;
};

} // namespace GeraniumLever
