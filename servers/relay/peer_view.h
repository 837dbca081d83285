/** What a relay knows about the other relays. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "servers/routing/routing.h"

namespace GeraniumLever {

/** A relay that has registered in the store. */
struct PeerNode
{
    NodeName node;
    DataCenterName dataCenter;
    /** "a.b.c.d:port" for datagrams. */
    std::string address;
    /** Share of a processor core that the node may use; 0 if not stated. */
    double processorShare = 0.0;
    /** Unique per start of the node; 0 if not stated. */
    std::uint64_t incarnation = 0;
    /** Version of its row in the store. */
    std::uint64_t rowVersion = 0;

    auto operator<=>(const PeerNode &) const = default;
};

/** All registered relays as they were read from the store. */
struct StoredNodes
{
    std::vector<PeerNode> nodes;
    StoreState state;
};

/** Status report that a relay sends to its peers once a second. Lost reports are not sent again. */
struct PeerReport
{
    NodeName node;
    std::uint64_t incarnation = 0;
    /** Increases with each report of one incarnation. */
    std::uint64_t sequence = 0;
    /** All zero if the sender does not know whether its configuration is the newest. */
    ConfigurationId configuration;
    /** Time since the sender's configuration was last known to be the newest. */
    Duration configurationAge { 0 };
    StoreEraReport storeEra;
    /** Sender's clock when the report was sent. */
    TimePoint sentAt;
    /** The sentAt of the newest report from the receiver that the sender had received when it sent this one, on the
     *  receiver's clock; default-constructed if there was none. It proves that this report was sent after that time. */
    TimePoint sentAfter;
    /** False if the sender has lately read a list of nodes without the receiver. */
    bool listsReceiver = true;

    auto operator<=>(const PeerReport &) const = default;
};

/** Interval at which reports are sent. */
constexpr Duration PeerReportPeriod = std::chrono::seconds(1);
/** A peer from which no report has arrived for this long is considered dead. */
constexpr Duration PeerTimeout = std::chrono::milliseconds(3500);

/** Tracks the registered relays and selects the peers that reports go to: those at a few fixed distances in name order,
 *  so that a node's message count does not grow with the fleet. */
class PeerView
{
public:
    explicit PeerView(NodeName self) : self_(std::move(self)) { }

    /** Replaces the list of relays with the one from the store. */
    void updateNodes(const std::vector<PeerNode> &nodes);

    /** Returns false if the report's node is this one or not listed, or if the report is older than the last one. */
    bool receive(const PeerReport &report, TimePoint now);

    /** True if no report of this incarnation of the node has arrived lately. */
    bool isNew(const PeerReport &report) const;

    /** Drops reports older than PeerTimeout. */
    void expire(TimePoint now);

    /** Peers to which reports are sent. */
    std::vector<PeerNode> targets() const;

    bool isListed(const NodeName &node) const { return nodes_.count(node) != 0; }

    /** The listed node with this address; nullptr if there is none. */
    const PeerNode *nodeAt(const std::string &address) const;

    /** The peer's clock in its last report, to be echoed back to it; default-constructed if there was none. */
    TimePoint lastSentAt(const NodeName &node) const;

    /** Number of listed nodes, including this one; absent before the first list. */
    std::optional<std::size_t> nodeCount() const;

    /** Number of peers that have recently sent a report. */
    std::size_t livePeers() const { return lastReports_.size(); }

private:
    struct LastReport
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        TimePoint sentAt;
        TimePoint receivedAt;
    };

    NodeName self_;
    std::map<NodeName, PeerNode> nodes_;
    std::map<NodeName, LastReport> lastReports_;
};

} // namespace GeraniumLever
