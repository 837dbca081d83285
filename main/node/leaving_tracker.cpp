#include "main/node/leaving_tracker.h"

namespace GeraniumLever {

namespace {

/** Longer than any source lags. */
constexpr Duration LongestLag = std::chrono::seconds(60);

} // namespace

std::optional<LeavingNotice> LeavingTracker::reported(const LoadReport &report, TimePoint now)
{
    if (report.leaving) {
        return mark(report.upstream, true, false, now);
    }
    const Row *row = rows_.find(report.upstream);
    if (row == nullptr || !report.ready) {
        return std::nullopt;
    }
    const bool outlived = now - row->since > LongestLag && !row->byList;
    return row->byReport || outlived ? withdraw(report.upstream) : std::nullopt;
}

std::optional<LeavingNotice> LeavingTracker::announced(const UpstreamName &upstream, TimePoint now)
{
    return mark(upstream, false, false, now);
}

std::vector<LeavingNotice> LeavingTracker::listed(const VmList &list, TimePoint now)
{
    std::vector<LeavingNotice> notices;
    for (const VmEntry &entry : list.entries) {
        if (entry.isNode) {
            continue;
        }
        const UpstreamName upstream(entry.name);
        std::optional<LeavingNotice> notice;
        if (entry.leaving) {
            notice = mark(upstream, false, true, now);
        } else if (const Row *row = rows_.find(upstream); row != nullptr && row->byList) {
            notice = withdraw(upstream);
        }
        if (notice) {
            notices.push_back(*notice);
        }
    }
    return notices;
}

std::optional<LeavingNotice> LeavingTracker::told(const LeavingNotice &notice, TimePoint now)
{
    return notice.leaving ? mark(notice.upstream, false, false, now) : withdraw(notice.upstream);
}

std::optional<LeavingNotice> LeavingTracker::mark(const UpstreamName &upstream,
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

std::optional<LeavingNotice> LeavingTracker::withdraw(const UpstreamName &upstream)
{
    if (!rows_.erase(upstream)) {
        return std::nullopt;
    }
    return LeavingNotice { upstream, false };
}

} // namespace GeraniumLever
