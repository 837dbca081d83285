/** What a relay knows of the other relays. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "servers/routing/routing.h"

namespace GeraniumLever {

/** A relay that has entered itself into the store. */
struct PeerNode
{
    NodeName node;
    DataCenterName dataCenter;
    /** "a.b.c.d:port" for datagrams. */
    std::string address;
    /** Part of a processor core that the node may use; 0 if not stated. */
    double processorShare = 0.0;

    auto operator<=>(const PeerNode &) const = default;
};

/** What a relay tells another, once a second. Lost reports are not sent again. */
struct PeerReport
{
    NodeName node;
    std::uint64_t incarnation = 0;
    /** Grows with each report of one incarnation. */
    std::uint64_t sequence = 0;
    ConfigurationVersion configuration;
    /** How long ago the sender's configuration was last known to be the newest. */
    Duration configurationAge { 0 };
    /** The sender's clock. */
    TimePoint sentAt;
    /** The receiver's clock as of the newest of its reports that the sender had when it sent this one; default if it
     * had none. So the report was sent after that moment. */
    TimePoint sentAfter;
    auto operator<=>(const PeerReport &) const = default;
};

/** Reports are sent at this period. */
constexpr Duration PeerReportPeriod = std::chrono::seconds(1);
/** A peer that has not been heard of for so long counts for nothing. */
constexpr Duration PeerTimeout = std::chrono::milliseconds(3500);

/** Knows which relays there are, and exchanges reports with the nearest ones in the order of their names, so that the
 *  messages of a node do not grow with the fleet. */
class PeerView
{
public:
    explicit PeerView(NodeName self) : self_(std::move(self)) { }

    /** Takes the whole list of relays from the store. */
    void updateNodes(const std::vector<PeerNode> &nodes);

    /** False if the report is of a node that is not listed, or older than the last one. */
    bool take(const PeerReport &report, TimePoint now);

    /** Drops what has become too old. */
    void expire(TimePoint now);

    /** Where reports go. */
    std::vector<PeerNode> targets() const;

    /** The node that is listed with the address; nullptr if there is none. */
    const PeerNode *nodeAt(const std::string &address) const;

    /** Clock of the last report of a peer, to be sent back to it; default if there was none. */
    TimePoint lastSentAt(const NodeName &node) const;

    /** Listed nodes, this one included; nothing before the first list. */
    std::optional<std::size_t> nodeCount() const;

    /** Peers that have been heard of lately. */
    std::size_t heard() const { return heard_.size(); }

private:
    struct Heard
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        TimePoint sentAt;
        TimePoint heardAt;
    };

    NodeName self_;
    std::map<NodeName, PeerNode> nodes_;
    std::map<NodeName, Heard> heard_;
};

} // namespace GeraniumLever
