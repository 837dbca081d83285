/** Tracks which upstreams are leaving, from several sources. */
#pragma once

#include <vector>

#include "core/core.h"

namespace GeraniumLever {

/** Sources contradict each other while the slower ones lag. An upstream is leaving as soon as any source says so. The
 *  mark is removed only when a source that had reported "leaving" itself reports otherwise, or when a load report says
 *  otherwise after the longest lag of any source and the VM list has not reported the upstream as leaving. */
class LeavingTracker
{
public:
    /** Each returns the notice to send to all nodes if the upstream has started or stopped leaving. */
    std::optional<LeavingNotice> reportReceived(const LoadReport &report, TimePoint now);
    std::optional<LeavingNotice> announcementReceived(const UpstreamName &upstream, TimePoint now);
    std::vector<LeavingNotice> vmListed(const VmList &list, TimePoint now);
    std::optional<LeavingNotice> noticeReceived(const LeavingNotice &notice, TimePoint now);

    bool isLeaving(const UpstreamName &upstream) const { return rows_.contains(upstream); }

private:
    struct Row
    {
        TimePoint since;
        bool byReport = false;
        bool byList = false;
    };

    std::optional<LeavingNotice> markLeaving(const UpstreamName &upstream, bool byReport, bool byList, TimePoint now);
    std::optional<LeavingNotice> clearLeaving(const UpstreamName &upstream);

    Table<UpstreamName, Row> rows_;
};

} // namespace GeraniumLever
