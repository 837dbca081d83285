/** Aggregates the work that relays report. */
#pragma once

#include <map>

#include "servers/relay/work_reports.h"

namespace GeraniumLever {

/** Holds the newest report of each node in the data centre and of the other data centres' collectors. Reports expire
 *  quickly, and a node that becomes the collector has complete totals after one report period. */
class WorkCollector
{
public:
    /** Returns false if the report is older than the sender's last one. */
    bool receive(const WorkReport &report, TimePoint now);

    /** The total work of all nodes except this one. */
    WorkAccount workOfOthers(const NodeName &node) const;

    /** The total of the nodes' own work, to be sent to other collectors. */
    WorkAccount collected() const;

    /** Drops expired reports. */
    void expire(TimePoint now);

    /** Number of nodes that report their own work here. */
    std::size_t nodes() const { return direct_.size(); }

private:
    struct ReportedWork
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        TimePoint receivedAt;
        WorkAccount work;
    };

    using WorkByNode = std::map<NodeName, ReportedWork>;

    /** Totals by engine and by token gap target. */
    struct Sums
    {
        std::map<std::uint32_t, UpstreamWork> upstreams;
        std::map<std::uint32_t, PauseDemand> demands;

        void add(const WorkAccount &account);
        WorkAccount account() const;
    };

    WorkByNode direct_;
    WorkByNode forwarded_;
};

} // namespace GeraniumLever
