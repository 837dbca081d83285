/** Sums the work that relays report. */
#pragma once

#include <map>

#include "servers/relay/work_reports.h"

namespace GeraniumLever {

/** Holds the newest report of each node of the data centre, and of the other data centres' collectors. Nothing is kept
 *  for long: whoever begins to collect knows everything after one period. */
class WorkCollector
{
public:
    /** False if the report is older than the sender's last one. */
    bool take(const WorkReport &report, TimePoint now);

    /** Everything but the node's own work. */
    WorkAccount othersOf(const NodeName &node) const;

    /** The sum of the nodes' own work, for other collectors. */
    WorkAccount collected() const;

    /** Drops reports that have become too old. */
    void expire(TimePoint now);

    /** Nodes that report their own work here. */
    std::size_t nodes() const { return direct_.size(); }

private:
    struct Account
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        TimePoint takenAt;
        WorkAccount work;
    };

    using Accounts = std::map<NodeName, Account>;

    /** Sums by engine and by pause. */
    struct Sums
    {
        std::map<std::uint32_t, UpstreamWork> upstreams;
        std::map<std::uint32_t, PauseDemand> demands;

        void add(const WorkAccount &account);
        WorkAccount account() const;
    };

    Accounts direct_;
    Accounts forwarded_;
};

} // namespace GeraniumLever
