/** All tables of one shard. The systems of this package read and change them; the state itself decides nothing. */
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

    /** Adds an attempt and counts it at its upstream. */
    void addAttempt(RunningAttempt attempt, TimePoint now);

    /** Removes an attempt and its count; nothing if it is not there. */
    std::optional<RunningAttempt> removeAttempt(AttemptId attempt, TimePoint now);

    /** The attempt's prompt has been computed. */
    void finishPrefill(const RunningAttempt &attempt);

    /** The class, or nullptr if the catalog no longer has it. */
    const RequestClass *classOf(const ClassName &name) const { return catalog->classes().find(name); }

    /** Weight of a team in fair queuing. */
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
    GuaranteeLedger guarantees;
    RetryBudget retries;
    /** Share of every upstream's seats that this node may use. */
    double seatShare = 1.0;
    /** Attempts that have been asked to pause and still hold their seats. */
    std::uint32_t pausing = 0;
    /** Seats that paused attempts have freed for a higher tier and that have not been granted since. */
    std::uint32_t pausedSeats = 0;
    /** Number of the last request that arrived. */
    std::uint64_t sequence = 0;
};

} // namespace GeraniumLever
