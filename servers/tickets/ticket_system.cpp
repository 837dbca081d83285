#include "servers/tickets/ticket_system.h"

#include <algorithm>

#include "servers/tickets/ticket_applier.h"
#include "servers/tickets/ticket_follower.h"
#include "servers/tickets/ticket_peers.h"
#include "servers/tickets/ticket_submitter.h"

namespace GeraniumLever {

namespace {

/** Time in which every live peer sends a heartbeat, so that the highest head is known. */
constexpr Duration PeersSettled = std::chrono::seconds(2);
/** With the table service out of reach, peers must be heard for longer than one that is gone still counts as heard. */
constexpr Duration PeersSettledAlone = std::chrono::seconds(4);
/** A contradicting epoch of a peer keeps a starting node from taking requests for this long. */
constexpr Duration EpochMismatchHold = std::chrono::seconds(10);
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

    bool holdsHighestHead(TimePoint now) const;
    void updateCaughtUp(TimePoint now, Commands &commands);

    TicketApplier applier;
    TicketFollower follower;
    TicketPeers peers;
    TicketSubmitter submitter;
    std::optional<TimePoint> started;
    TimePoint nextNotReadyLog;
    bool caughtUp = false;
};

bool TicketSystem::State::holdsHighestHead(TimePoint now) const
{
    const std::optional<TimePoint> mismatch = peers.lastEpochMismatch();
    if (mismatch.has_value() && now - *mismatch < EpochMismatchHold) {
        return false;
    }
    const TicketNumber highest = std::max(follower.storeHead(), peers.highestHeard());
    if (applier.chain().head() < highest) {
        return false;
    }
    if (follower.answered()) {
        // An empty table is believed only after peers have had time to say otherwise.
        return highest > TicketNumber() || now - *started >= PeersSettled;
    }
    const std::optional<TimePoint> heard = peers.readyPeersSince(now);
    return follower.failed() && heard.has_value() && now - *heard >= PeersSettledAlone;
}

void TicketSystem::State::updateCaughtUp(TimePoint now, Commands &commands)
{
    if (caughtUp) {
        return;
    }
    caughtUp = holdsHighestHead(now);
    if (!caughtUp && now >= nextNotReadyLog) {
        nextNotReadyLog = now + NotReadyLogPeriod;
        commands.push_back(Decision {
            "ticket_not_caught_up",
            { { "head", std::to_string(applier.chain().head().value()) },
              { "highest_heard", std::to_string(peers.highestHeard().value()) },
              { "table_answered", follower.answered() ? "true" : "false" } },
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
                            "this node does not hold the tickets in force yet; the ticket is not accepted",
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

void TicketSystem::tick(bool delegate, const std::vector<NodeName> &pushTo, TimePoint now, Commands &commands)
{
    if (!state_->started.has_value()) {
        state_->started = now;
    }
    state_->submitter.tick(now, commands);
    state_->follower.tick(delegate || !state_->caughtUp, now, commands);
    const bool push = state_->submitter.takeAccepted() || delegate;
    state_->peers.tick(push, pushTo, commands);
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
