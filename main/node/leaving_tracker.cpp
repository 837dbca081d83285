#include "main/node/leaving_tracker.h"

namespace GeraniumLever {

namespace {

/** Longer than the lag of any source. */
constexpr Duration MaxSourceLag = std::chrono::seconds(60);

} // namespace

std::optional<LeavingNotice> LeavingTracker::reportReceived(const LoadReport &report, TimePoint now)
{
    if (report.leaving) {
        return markLeaving(report.upstream, true, false, now);
    }
    const Row *row = rows_.find(report.upstream);
    if (row == nullptr || !report.ready) {
        return std::nullopt;
    }
    const bool hasExpired = now - row->since > MaxSourceLag && !row->byList;
    return row->byReport || hasExpired ? clearLeaving(report.upstream) : std::nullopt;
}

std::optional<LeavingNotice> LeavingTracker::announcementReceived(const UpstreamName &upstream, TimePoint now)
{
    return markLeaving(upstream, false, false, now);
}

std::vector<LeavingNotice> LeavingTracker::vmListed(const VmList &list, TimePoint now)
{
    std::vector<LeavingNotice> notices;
    for (const VmEntry &entry : list.entries) {
        if (entry.isNode) {
            continue;
        }
        const UpstreamName upstream(entry.name);
        std::optional<LeavingNotice> notice;
        if (entry.leaving) {
            notice = markLeaving(upstream, false, true, now);
        } else if (const Row *row = rows_.find(upstream); row != nullptr && row->byList) {
            notice = clearLeaving(upstream);
        }
        if (notice) {
            notices.push_back(*notice);
        }
    }
    return notices;
}

std::optional<LeavingNotice> LeavingTracker::noticeReceived(const LeavingNotice &notice, TimePoint now)
{
    return notice.leaving ? markLeaving(notice.upstream, false, false, now) : clearLeaving(notice.upstream);
}

std::optional<LeavingNotice> LeavingTracker::markLeaving(const UpstreamName &upstream,
                                                         bool byReport,
                                                         bool byList,
                                                         TimePoint now)
{
    if (Row *row = rows_.edit(upstream)) {
        row->byReport = row->byReport || byReport;
        row->byList = row->byList || byList;
        return std::nullopt;
    }
    rows_.put(upstream, Row { now, byReport, byList });
    return LeavingNotice { upstream, true };
}

std::optional<LeavingNotice> LeavingTracker::clearLeaving(const UpstreamName &upstream)
{
    if (!rows_.erase(upstream)) {
        return std::nullopt;
    }
    return LeavingNotice { upstream, false };
}

} // namespace GeraniumLever
