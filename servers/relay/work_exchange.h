/** Which relay collects the work of the others, and what is sent to it. */
#pragma once

#include <map>
#include <optional>
#include <utility>

#include "servers/relay/peer_view.h"
#include "servers/relay/work_collector.h"

namespace GeraniumLever {

/** A report and where it goes, "a.b.c.d:port". */
struct OutgoingWorkReport
{
    std::string address;
    WorkReport report;

    auto operator<=>(const OutgoingWorkReport &) const = default;
};

/** Answers a rush that many nodes place at once: each would know only its own requests. In each data centre the nodes
 *  report their work to one of them, which answers with everybody else's and exchanges sums with the other data
 *  centres. All order the nodes alike, so that they need not agree on the collector; one that does not answer is
 *  passed over for a while, and placing goes on without it in the meantime. */
class WorkExchange
{
public:
    WorkExchange(NodeName self, DataCenterName dataCenter, std::uint64_t incarnation)
        : self_(std::move(self)), dataCenter_(std::move(dataCenter)), incarnation_(incarnation)
    {
    }

    /** Takes the whole list of relays. */
    void updateNodes(const std::vector<PeerNode> &nodes);

    /** What to send now, given this node's own work. To be called once a period. */
    std::vector<OutgoingWorkReport> report(const WorkAccount &own, TimePoint now);

    /** Takes another relay's report; the answer to it, if it asks for one. */
    std::optional<WorkTotals> take(const WorkReport &report, TimePoint now);

    /** Takes the answer to a report of this node; false if it is not to the last one. */
    bool take(const WorkTotals &totals);

    /** The work of the others if this node collects it itself. */
    std::optional<WorkAccount> ownTotals() const;

    /** The node that collects for this one; nullptr if there is none. */
    const PeerNode *collector(TimePoint now) const;

private:
    struct Contact
    {
        std::uint32_t unanswered = 0;
        TimePoint silentUntil;
    };

    /** Nodes by data centre, the first to collect in front. */
    std::map<DataCenterName, std::vector<PeerNode>> ranks_;
    std::map<NodeName, Contact> contacts_;
    WorkCollector sums_;
    NodeName self_;
    DataCenterName dataCenter_;
    std::uint64_t incarnation_ = 0;
    std::uint64_t sequence_ = 0;
    bool collecting_ = false;
};

} // namespace GeraniumLever
