/** The whole I/O-free logic of one node: events in, commands out, time only from the caller. */
#pragma once

#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <vector>

#include "core/core.h"
#include "main/node/leaving_tracker.h"
#include "servers/claims/claims.h"
#include "servers/ingress/ingress.h"
#include "servers/membership/membership.h"
#include "servers/orders/orders.h"
#include "servers/scheduling/scheduling.h"
#include "servers/tickets/tickets.h"

namespace GeraniumLever {

/** What distinguishes one node from another. */
struct NodeIdentity
{
    NodeAddress address;
    Incarnation incarnation;
    /** First contacts. */
    std::vector<NodeAddress> seeds;
    std::string meshKey;
    /** Seed of all random choices. */
    std::uint64_t seed = 1;
    /** Longest time that a stop waits for requests in flight. */
    Duration stopLimit = std::chrono::minutes(10);

    bool operator==(const NodeIdentity &) const = default;
};

/** How long a stopping node still accepts connections, so that the balancer notices before any is refused. */
constexpr Duration AcceptingAfterStop = std::chrono::seconds(3);

/** Connects the systems of a node. Messages of a node to itself never leave it. */
class NodeLogic
{
public:
    explicit NodeLogic(NodeIdentity identity);

    /** Takes one event; what is to be done is appended to the commands. */
    void handle(const Event &event, TimePoint now, Commands &commands);

    /** To be called every few milliseconds. */
    void tick(TimePoint now, Commands &commands);

    /** True if the balancer may send requests. */
    bool ready() const { return state_ == NodeState::Ready; }

    NodeState state() const { return state_; }

    /** Upstreams whose load this node should read, since it schedules for them. */
    const std::vector<UpstreamName> &watchedUpstreams() const { return watched_; }

    const MembershipSystem &membership() const { return membership_; }
    const TicketSystem &tickets() const { return tickets_; }
    const SchedulingSystem &scheduling() const { return scheduling_; }
    const LeavingTracker &leaving() const { return leaving_; }

    /** Requests without a final answer, and calls whose result is not yet recorded. */
    std::size_t inFlight() const { return ingress_.inFlight() + claims_.unfinished(); }

    /** For operators: looks up what became of a key. Ends in StatusFound. */
    void askStatus(
        const RequestId &request, const TeamName &team, const std::string &key, TimePoint now, Commands &commands);

    /** Answers to askStatus since the last call. */
    std::vector<ClaimStatus> takeOperatorStatuses();

private:
    /** Carries out what concerns only this node and hands the rest on. */
    void route(Commands produced, TimePoint now, Commands &commands);
    void drainNotices(TimePoint now, Commands &produced);
    void noteLeaving(const std::optional<LeavingNotice> &notice, bool tellPeers, TimePoint now, Commands &produced);
    void refreshCatalog(TimePoint now);
    void refreshState(TimePoint now, Commands &commands);
    /** Without pools that this node has scheduled before and no longer does, whose counts are out of date. */
    std::vector<PoolSummary> ownSummaries(TimePoint now) const;
    void refreshSeatShare();
    void tickOrders(TimePoint now, Commands &produced);
    /** Recomputes for which upstreams this node schedules; new ones get no grant before they have reported. */
    void refreshWatched(TimePoint now);

    void on(const CallerRequest &event, TimePoint now, Commands &produced);
    void on(const CallerGone &event, TimePoint now, Commands &produced);
    void on(const CallerBacklog &event, TimePoint now, Commands &produced);
    void on(const UpstreamHead &event, TimePoint now, Commands &produced);
    void on(const UpstreamData &event, TimePoint now, Commands &produced);
    void on(const UpstreamEnd &event, TimePoint now, Commands &produced);
    void on(const UpstreamFailure &event, TimePoint now, Commands &produced);
    void on(const ProbeResult &event, TimePoint now, Commands &produced);
    void on(const LoadReport &event, TimePoint now, Commands &produced);
    void on(const CacheEvent &event, TimePoint now, Commands &produced);
    void on(const VmList &event, TimePoint now, Commands &produced);
    void on(const PeerReceived &event, TimePoint now, Commands &produced);
    void on(const PeerLost &event, TimePoint now, Commands &produced);
    void on(const TicketSubmission &event, TimePoint now, Commands &produced);
    void on(const OrderResult &event, TimePoint now, Commands &produced);
    void on(const StoreResult &event, TimePoint now, Commands &produced);
    void on(const StopRequested &event, TimePoint now, Commands &produced);

    void from(const NodeName &node, const Heartbeat &message, TimePoint now, Commands &produced);
    void from(const NodeName &node, const SlotRequest &message, TimePoint now, Commands &produced);
    void from(const NodeName &node, const SlotGrant &message, TimePoint now, Commands &produced);
    void from(const NodeName &node, const SlotRefusal &message, TimePoint now, Commands &produced);
    void from(const NodeName &node, const SlotCancel &message, TimePoint now, Commands &produced);
    void from(const NodeName &node, const AttemptProgress &message, TimePoint now, Commands &produced);
    void from(const NodeName &node, const AttemptEnd &message, TimePoint now, Commands &produced);
    void from(const NodeName &node, const AttemptRegistration &message, TimePoint now, Commands &produced);
    void from(const NodeName &node, const AttemptPause &message, TimePoint now, Commands &produced);
    void from(const NodeName &node, const LeavingNotice &message, TimePoint now, Commands &produced);
    void from(const NodeName &node, const TicketBatch &message, TimePoint now, Commands &produced);
    void from(const NodeName &node, const TicketFetch &message, TimePoint now, Commands &produced);
    void from(const NodeName &node, const SnapshotFetch &message, TimePoint now, Commands &produced);
    void from(const NodeName &node, const Snapshot &message, TimePoint now, Commands &produced);
    void from(const NodeName &node, const ClaimQuery &message, TimePoint now, Commands &produced);
    void from(const NodeName &node, const ClaimReply &message, TimePoint now, Commands &produced);

    NodeIdentity identity_;
    NodeName self_;
    OperationCounter operations_;
    MembershipSystem membership_;
    TicketSystem tickets_;
    ClaimSystem claims_;
    SchedulingSystem scheduling_;
    OrderSystem orders_;
    IngressSystem ingress_;
    LeavingTracker leaving_;
    CatalogPtr catalog_;
    std::vector<UpstreamName> watched_;
    /** Pools of which this node schedules a shard. */
    std::set<PoolName> watchedPools_;
    NodeState state_ = NodeState::Starting;
    TimePoint nextOrderTick_;
    TimePoint stopAt_;
    TimePoint drainUntil_;
    bool stopReported_ = false;
    std::vector<RequestId> operatorQuestions_;
    std::vector<ClaimStatus> operatorStatuses_;
};

} // namespace GeraniumLever
