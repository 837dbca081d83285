/** Which upstreams are leaving, by the first word of any source. */
#pragma once

#include <vector>

#include "core/core.h"

namespace GeraniumLever {

/** Sources contradict each other while the slower ones lag. The first that says "leaving" counts at once; it is taken
 *  back only when a source that had said "leaving" itself says otherwise, or when all are silent for long. */
class LeavingTracker
{
public:
    /** Each returns the notice that all nodes should get, if the upstream's standing has changed. */
    std::optional<LeavingNotice> reported(const LoadReport &report, TimePoint now);
    std::optional<LeavingNotice> announced(const UpstreamName &upstream, TimePoint now);
    std::vector<LeavingNotice> listed(const VmList &list, TimePoint now);
    std::optional<LeavingNotice> told(const LeavingNotice &notice, TimePoint now);

    bool isLeaving(const UpstreamName &upstream) const { return rows_.contains(upstream); }

private:
    struct Row
    {
        TimePoint since;
        bool byReport = false;
        bool byList = false;
    };

    std::optional<LeavingNotice> mark(const UpstreamName &upstream, bool byReport, bool byList, TimePoint now);
    std::optional<LeavingNotice> withdraw(const UpstreamName &upstream);

    Table<UpstreamName, Row> rows_;
};

} // namespace GeraniumLever
