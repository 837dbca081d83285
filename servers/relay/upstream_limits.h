/** The limits that upstreams set to their requests, and this node's share of them. */
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "servers/relay/limit_reports.h"
#include "servers/relay/node_registry.h"
#include "servers/relay/request_slots.h"

namespace GeraniumLever {

/** A limit that has become known here, or has ended. */
struct LimitChange
{
    UpstreamName upstream;
    std::optional<double> rate;
    /** Limit that was known before. */
    std::optional<double> before;
    /** Time since the answer that stated it, and the node that received it or passed it on. */
    Duration age { 0 };
    NodeName source;

    auto operator<=>(const LimitChange &) const = default;
};

/** Requests that may be sent now to upstreams that limit them, and the time until the last of them has lapsed. */
struct RequestPermits
{
    std::size_t count = 0;
    Duration remaining { 0 };

    auto operator<=>(const RequestPermits &) const = default;
};

/**
 * Knows the limits that this node or another has heard of, and keeps this node's requests within its slots of each.
 * The share of a node follows from the registered nodes and the store's clock alone, so the limit holds while nodes
 * are cut off from each other and from the store.
 *
 * A limit holds for an upstream's name until an answer to a later request states none, whatever incarnation that comes
 * from: the next incarnation may have stated it before it was registered.
 */
class UpstreamLimits
{
public:
    explicit UpstreamLimits(NodeName self) : self_(std::move(self)) { }

    /** Replaces the nodes that share each limit. */
    void updateNodes(const NodeRegistry &nodes);

    /** Forgets upstreams that have not been registered or heard of for a long time. */
    void updateUpstreams(const Table<UpstreamName, UpstreamEntry> &entries, TimePoint now);

    /** The store's clock showed this time when it sent an answer that arrived now. */
    void noteStoreClock(Duration storeClock, TimePoint now) { clock_.note(storeClock, now); }

    /** An answer to a request that was sent at sentAt states this limit, or none. */
    void noteAnswer(const UpstreamName &upstream, std::optional<double> rate, TimePoint sentAt, TimePoint now);

    /** Merges what a peer knows. */
    void receive(const LimitReport &report, TimePoint now);

    /** A request is sent; uses one of this node's slots if the upstream limits them. */
    void noteSent(const UpstreamName &upstream, TimePoint now);

    bool isLimited(const UpstreamName &upstream) const { return limitOf(upstream) != nullptr; }

    /** The limit, and the time since an answer is known to have stated it. To be asked only for upstreams with a limit.
     */
    double rate(const UpstreamName &upstream) const { return *limitOf(upstream)->rate; }
    Duration age(const UpstreamName &upstream, TimePoint now) const { return now - limitOf(upstream)->heardAt; }

    /** The requests that may be sent now. To be asked only for upstreams with a limit. */
    RequestPermits permits(const UpstreamName &upstream, TimePoint now) const;

    /** Number of requests that may be sent until some time, from now on. To be asked only for upstreams with a limit.
     */
    std::size_t permitsUntil(const UpstreamName &upstream, TimePoint until, TimePoint now) const;

    /** True if the upstream should get a request soon, to find out whether its limit still holds. */
    bool needsConfirmation(const UpstreamName &upstream, TimePoint now) const;

    /** What peers must be told now; limits the rate. */
    std::vector<LimitStatement> takeNews(TimePoint now);

    /** What peers are told periodically, in case they have missed it: a part of all statements, in turn. */
    std::vector<LimitStatement> report(TimePoint now);

    /** Changes since the last call. */
    std::vector<LimitChange> takeChanges() { return std::exchange(changes_, {}); }

    /** Number of upstreams with a limit. */
    std::size_t size() const;

    /** Number of requests sent under a limit. */
    std::uint64_t sent() const { return sent_; }

    /** Maximum number of statements in one report, so that it fits into a datagram. */
    static constexpr std::size_t MaxReportedStatements = 16;

private:
    struct Limit
    {
        /** Absent after the limit has ended. */
        std::optional<double> rate;
        /** Bounds of the time at which the upstream last said so. */
        TimePoint sentAt;
        TimePoint heardAt;
        /** The last slot that is used or was given up. */
        std::int64_t usedSlot = 0;
        /** Position of this node in the order of turns. */
        std::size_t position = 0;
        bool isNews = false;
    };

    /** The upstream's limit; nullptr if it has none. */
    const Limit *limitOf(const UpstreamName &upstream) const;
    RequestSlots slotsOf(const Limit &limit) const;
    void setPosition(const UpstreamName &upstream, Limit &limit) const;
    /** Applies a statement unless a newer one is known. */
    void apply(const UpstreamName &upstream, const Limit &stated, const NodeName &source, TimePoint now);
    std::vector<LimitStatement> statementsOf(const std::vector<UpstreamName> &upstreams) const;

    NodeName self_;
    FleetClock clock_;
    std::vector<PeerNode> nodes_;
    /** Number of nodes that share each limit. */
    std::size_t sharingNodes_ = NodeRegistry::MinSharingNodes;
    std::map<UpstreamName, Limit> limits_;
    std::vector<LimitChange> changes_;
    TimePoint nextNewsAt_;
    UpstreamName lastReported_;
    std::uint64_t sent_ = 0;
};

} // namespace GeraniumLever
