/** Selects the relay that collects the work of the others, and builds the reports to it. */
#pragma once

#include <map>
#include <optional>
#include <utility>

#include "servers/relay/peer_view.h"
#include "servers/relay/work_collector.h"

namespace GeraniumLever {

/** A report and its destination address, "a.b.c.d:port". */
struct OutgoingWorkReport
{
    std::string address;
    WorkReport report;

    auto operator<=>(const OutgoingWorkReport &) const = default;
};

/** Gives each node the total load of all nodes, since each would otherwise see only its own requests when many nodes
 *  place a burst at the same time. In each data centre the nodes report their work to one collector, which answers with
 *  the total of all others and exchanges totals with the other data centres. All nodes order the candidates
 *  identically, so they choose the same collector without coordination. A collector that does not answer is skipped for
 *  a while, and placement continues without its totals in the meantime. */
class WorkExchange
{
public:
    WorkExchange(NodeName self, DataCenterName dataCenter, std::uint64_t incarnation)
        : self_(std::move(self)), dataCenter_(std::move(dataCenter)), incarnation_(incarnation)
    {
    }

    /** Replaces the list of relays. */
    void updateNodes(const std::vector<PeerNode> &nodes);

    /** The reports to send now, given this node's own work. To be called once per WorkReportPeriod. */
    std::vector<OutgoingWorkReport> report(const WorkAccount &own, TimePoint now);

    /** Handles another relay's report; returns the answer if the report requires one. */
    std::optional<WorkTotals> receive(const WorkReport &report, TimePoint now);

    /** Handles the answer to a report of this node; returns false if it does not answer the last report. */
    bool receive(const WorkTotals &totals);

    /** The total work of all other nodes if this node is the collector; otherwise absent. */
    std::optional<WorkAccount> totalsIfCollector() const;

    /** The collector for this node; nullptr if there is none. */
    const PeerNode *collector(TimePoint now) const;

private:
    struct Contact
    {
        std::uint32_t unanswered = 0;
        TimePoint skippedUntil;
    };

    /** Nodes by data centre, in the order in which they are preferred as collector. */
    std::map<DataCenterName, std::vector<PeerNode>> nodesByDataCenter_;
    std::map<NodeName, Contact> contacts_;
    WorkCollector collector_;
    NodeName self_;
    DataCenterName dataCenter_;
    std::uint64_t incarnation_ = 0;
    std::uint64_t sequence_ = 0;
    bool isCollector_ = false;
};

} // namespace GeraniumLever
