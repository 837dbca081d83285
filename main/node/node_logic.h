/** The logic of one node, free of I/O: takes events, returns commands, and gets the time only from its caller. */
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

/** Identity and start parameters of one node. */
struct NodeIdentity
{
    NodeAddress address;
    Incarnation incarnation;
    /** Nodes that are contacted first. */
    std::vector<NodeAddress> seeds;
    std::string meshKey;
    /** Seed of the random number generators. */
    std::uint64_t seed = 1;
    /** Longest time that a graceful stop waits for requests in flight. */
    Duration stopLimit = std::chrono::minutes(10);

    bool operator==(const NodeIdentity &) const = default;
};

/** How long a stopping node still accepts connections, so that the load balancer notices the stop before any connection
 *  is refused. */
constexpr Duration AcceptingAfterStop = std::chrono::seconds(3);

/** Connects the systems of a node. A message of a node to itself is handled directly and not sent. */
class NodeLogic
{
public:
    explicit NodeLogic(NodeIdentity identity);

    /** Handles one event and appends the resulting commands to `commands`. */
    void handle(const Event &event, TimePoint now, Commands &commands);

    /** Must be called every few milliseconds. */
    void tick(TimePoint now, Commands &commands);

    /** True if the load balancer may send requests to this node. */
    bool ready() const { return state_ == NodeState::Ready; }

    NodeState state() const { return state_; }

    /** Upstreams that this node schedules, and whose load it must therefore read. */
    const std::vector<UpstreamName> &watchedUpstreams() const { return watched_; }

    const MembershipSystem &membership() const { return membership_; }
    const TicketSystem &tickets() const { return tickets_; }
    const SchedulingSystem &scheduling() const { return scheduling_; }
    const LeavingTracker &leaving() const { return leaving_; }

    /** Number of requests without a final answer, plus calls whose result is not recorded yet. */
    std::size_t inFlight() const { return ingress_.inFlight() + claims_.unfinished(); }

    /** Looks up the status of a request key for an operator. takeOperatorStatuses() returns the result. */
    void askStatus(
        const RequestId &request, const TeamName &team, const std::string &key, TimePoint now, Commands &commands);

    /** Results of status look-ups since the last call. */
    std::vector<ClaimStatus> takeOperatorStatuses();

private:
    /** Handles messages to this node itself and appends all other commands to `commands`. */
    void route(Commands produced, TimePoint now, Commands &commands);
    void handleClaimNotices(TimePoint now, Commands &produced);
    void noteLeaving(const std::optional<LeavingNotice> &notice, bool notifyPeers, TimePoint now, Commands &produced);
    void refreshCatalog(TimePoint now);
    void refreshState(TimePoint now, Commands &commands);
    /** Omits pools that this node no longer schedules, since their counts are out of date. */
    std::vector<PoolSummary> ownSummaries(TimePoint now) const;
    void refreshSeatShare();
    void tickOrders(TimePoint now, Commands &produced);
    /** Recomputes which upstreams this node schedules. A new one gets no grants until its first load report
     *  or a time-out. */
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

    void onPeerMessage(const NodeName &node, const Heartbeat &message, TimePoint now, Commands &produced);
    void onPeerMessage(const NodeName &node, const SlotRequest &message, TimePoint now, Commands &produced);
    void onPeerMessage(const NodeName &node, const SlotGrant &message, TimePoint now, Commands &produced);
    void onPeerMessage(const NodeName &node, const SlotRefusal &message, TimePoint now, Commands &produced);
    void onPeerMessage(const NodeName &node, const SlotCancel &message, TimePoint now, Commands &produced);
    void onPeerMessage(const NodeName &node, const AttemptProgress &message, TimePoint now, Commands &produced);
    void onPeerMessage(const NodeName &node, const AttemptEnd &message, TimePoint now, Commands &produced);
    void onPeerMessage(const NodeName &node, const AttemptRegistration &message, TimePoint now, Commands &produced);
    void onPeerMessage(const NodeName &node, const AttemptPause &message, TimePoint now, Commands &produced);
    void onPeerMessage(const NodeName &node, const LeavingNotice &message, TimePoint now, Commands &produced);
    void onPeerMessage(const NodeName &node, const TicketBatch &message, TimePoint now, Commands &produced);
    void onPeerMessage(const NodeName &node, const TicketFetch &message, TimePoint now, Commands &produced);
    void onPeerMessage(const NodeName &node, const SnapshotFetch &message, TimePoint now, Commands &produced);
    void onPeerMessage(const NodeName &node, const Snapshot &message, TimePoint now, Commands &produced);
    void onPeerMessage(const NodeName &node, const ClaimQuery &message, TimePoint now, Commands &produced);
    void onPeerMessage(const NodeName &node, const ClaimReply &message, TimePoint now, Commands &produced);

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
    /** Pools of which this node schedules at least one shard. */
    std::set<PoolName> watchedPools_;
    NodeState state_ = NodeState::Starting;
    TimePoint nextOrderTick_;
    TimePoint stopDeadline_;
    TimePoint earliestStop_;
    bool stopReported_ = false;
    std::vector<RequestId> operatorLookups_;
    std::vector<ClaimStatus> operatorStatuses_;
};

} // namespace GeraniumLever
