/** What a relay knows of the other relays. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
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

    auto operator<=>(const PeerNode &) const = default;
};

/** Requests of one relay at one upstream. */
struct UpstreamCount
{
    /** Hash of the upstream's name. */
    std::uint32_t upstream = 0;
    std::uint32_t requests = 0;

    auto operator<=>(const UpstreamCount &) const = default;
};

/** What a relay tells another, about twice a second. Lost reports are not sent again. */
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
    std::vector<UpstreamCount> counts;

    auto operator<=>(const PeerReport &) const = default;
};

/** Reports are sent at this period. */
constexpr Duration PeerReportPeriod = std::chrono::milliseconds(500);
/** A peer that has not been heard of for so long counts for nothing. */
constexpr Duration PeerTimeout = std::chrono::milliseconds(2500);

/** Hash under which reports name an upstream. */
std::uint32_t peerHashOf(const UpstreamName &upstream);

/** Adds up what the peers report. Among many nodes only those of the own data centre exchange reports, and the others
 *  are taken to have as much to do. */
class PeerView
{
public:
    PeerView(NodeName self, DataCenterName dataCenter) : self_(std::move(self)), dataCenter_(std::move(dataCenter)) { }

    /** Takes the whole list of relays from the store. */
    void learnNodes(const std::vector<PeerNode> &nodes);

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

    /** Requests of other nodes at an upstream; nothing if no peer has been heard of lately. */
    std::optional<double> requestsAt(const UpstreamName &upstream) const;

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
        std::vector<UpstreamCount> counts;
    };

    void add(const std::vector<UpstreamCount> &counts, int sign);

    NodeName self_;
    DataCenterName dataCenter_;
    std::map<NodeName, PeerNode> nodes_;
    std::map<NodeName, Heard> heard_;
    std::unordered_map<std::uint32_t, std::int64_t> sums_;
};

} // namespace GeraniumLever
