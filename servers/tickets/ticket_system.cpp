#include "servers/tickets/ticket_system.h"

#include <algorithm>

#include "servers/tickets/ticket_applier.h"
#include "servers/tickets/ticket_follower.h"
#include "servers/tickets/ticket_peers.h"
#include "servers/tickets/ticket_submitter.h"

namespace GeraniumLever {

namespace {

/** Time in which every live peer sends a heartbeat, after which the highest head is known. */
constexpr Duration PeerHeartbeatWait = std::chrono::seconds(2);
/** Required time of heartbeats from peers while the table service is unreachable. Longer than the time for which the
 * last heartbeat of a lost peer still counts. */
constexpr Duration PeerHeartbeatWaitWithoutStore = std::chrono::seconds(4);
/** Time after an epoch mismatch with a peer during which a starting node does not take requests. */
constexpr Duration EpochMismatchDelay = std::chrono::seconds(10);
constexpr Duration NotReadyLogPeriod = std::chrono::seconds(10);

} // namespace

struct TicketSystem::State
{
    State(NodeName self, OperationCounter &operations, std::uint64_t seed)
        : follower(applier, operations)
        , peers(std::move(self), applier, follower)
        , submitter(applier, follower, operations, seed)
    {
    }

    bool hasHighestHead(TimePoint now) const;
    void updateCaughtUp(TimePoint now, Commands &commands);

    TicketApplier applier;
    TicketFollower follower;
    TicketPeers peers;
    TicketSubmitter submitter;
    std::optional<TimePoint> startedAt;
    TimePoint nextNotReadyLog;
    bool caughtUp = false;
};

bool TicketSystem::State::hasHighestHead(TimePoint now) const
{
    const std::optional<TimePoint> mismatch = peers.lastEpochMismatch();
    if (mismatch.has_value() && now - *mismatch < EpochMismatchDelay) {
        return false;
    }
    const TicketNumber highest = std::max(follower.storeHead(), peers.highestPeerHead());
    if (applier.chain().head() < highest) {
        return false;
    }
    if (follower.hasReceivedHead()) {
        // An empty table is trusted only after all peers have had time to report a head.
        return highest > TicketNumber() || now - *startedAt >= PeerHeartbeatWait;
    }
    const std::optional<TimePoint> readySince = peers.readyPeersSince(now);
    return follower.hasLastReadFailed() && readySince.has_value() && now - *readySince >= PeerHeartbeatWaitWithoutStore;
}

void TicketSystem::State::updateCaughtUp(TimePoint now, Commands &commands)
{
    if (caughtUp) {
        return;
    }
    caughtUp = hasHighestHead(now);
    if (!caughtUp && now >= nextNotReadyLog) {
        nextNotReadyLog = now + NotReadyLogPeriod;
        commands.push_back(Decision {
            "ticket_not_caught_up",
            { { "head", std::to_string(applier.chain().head().value()) },
              { "highest_heard", std::to_string(peers.highestPeerHead().value()) },
              { "table_answered", follower.hasReceivedHead() ? "true" : "false" } },
        });
    }
}

TicketSystem::TicketSystem(NodeName self, OperationCounter &operations, std::uint64_t seed)
    : state_(std::make_unique<State>(std::move(self), operations, seed))
{
}

TicketSystem::~TicketSystem() = default;

void TicketSystem::submitted(const TicketSubmission &submission, TimePoint now, Commands &commands)
{
    if (!state_->caughtUp) {
        const Error error { ResultCode::NotReady,
                            "this node has not caught up with the tickets in force yet; the ticket is not accepted",
                            std::chrono::seconds(1) };
        commands.push_back(TicketSubmissionResult { submission.operation, error });
        return;
    }
    state_->submitter.submit(submission, now, commands);
}

void TicketSystem::heartbeatReceived(const Heartbeat &heartbeat, TimePoint now, Commands &commands)
{
    state_->peers.heartbeatReceived(heartbeat, now, commands);
}

void TicketSystem::batchReceived(const NodeName &from, const TicketBatch &batch, TimePoint now, Commands &commands)
{
    state_->peers.batchReceived(from, batch, now, commands);
}

void TicketSystem::fetchReceived(const NodeName &from, const TicketFetch &fetch, Commands &commands)
{
    state_->peers.fetchReceived(from, fetch, commands);
}

void TicketSystem::snapshotRequested(const NodeName &from, Commands &commands)
{
    state_->peers.snapshotRequested(from, commands);
}

void TicketSystem::snapshotReceived(const NodeName &from, const Snapshot &snapshot, TimePoint now, Commands &commands)
{
    state_->peers.snapshotReceived(from, snapshot, now, commands);
}

bool TicketSystem::storeResultReceived(const StoreResult &result, TimePoint now, Commands &commands)
{
    return state_->follower.storeResultReceived(result, now, commands)
        || state_->submitter.storeResultReceived(result, now, commands);
}

void TicketSystem::tick(bool isDelegate, const std::vector<NodeName> &targets, TimePoint now, Commands &commands)
{
    if (!state_->startedAt.has_value()) {
        state_->startedAt = now;
    }
    state_->submitter.tick(now, commands);
    state_->follower.tick(isDelegate || !state_->caughtUp, now, commands);
    const bool push = state_->submitter.takeAccepted() || isDelegate;
    state_->peers.tick(push, targets, commands);
    state_->updateCaughtUp(now, commands);
}

const CatalogPtr &TicketSystem::catalog() const
{
    return state_->applier.chain().catalog();
}

TicketStatus TicketSystem::standing() const
{
    const TicketChain &chain = state_->applier.chain();
    return TicketStatus { chain.head(), chain.digest(), chain.epoch(), state_->caughtUp };
}

std::optional<TicketRecord> TicketSystem::record(TicketNumber number) const
{
    return state_->applier.chain().record(number);
}

TicketCounters TicketSystem::counters() const
{
    return state_->applier.counters();
}

} // namespace GeraniumLever
