#include "servers/relay/work_collector.h"

namespace GeraniumLever {

namespace {

/** A node that has not reported for this long has no work, or it is gone and its requests with it. */
constexpr Duration ReportLifetime = WorkReportPeriod * 6;

template<typename Item>
std::vector<Item> listOf(const std::map<std::uint32_t, Item> &sums)
{
    std::vector<Item> list;
    list.reserve(sums.size());
    for (const auto &[key, item] : sums) {
        list.push_back(item);
    }
    return list;
}

} // namespace

bool WorkCollector::receive(const WorkReport &report, TimePoint now)
{
    ReportedWork &account = (report.collected ? forwarded_ : direct_)[report.node];
    if (account.incarnation == report.incarnation && report.sequence <= account.sequence) {
        return false;
    }
    account = { report.incarnation, report.sequence, now, report.work };
    return true;
}

WorkAccount WorkCollector::workOfOthers(const NodeName &node) const
{
    Sums sums;
    for (const auto &[name, account] : direct_) {
        if (name != node) {
            sums.add(account.work);
        }
    }
    for (const auto &[name, account] : forwarded_) {
        sums.add(account.work);
    }
    return sums.account();
}

WorkAccount WorkCollector::collected() const
{
    Sums sums;
    for (const auto &[name, account] : direct_) {
        sums.add(account.work);
    }
    return sums.account();
}

void WorkCollector::expire(TimePoint now)
{
    const auto isExpired = [now](const auto &entry) { return now - entry.second.receivedAt > ReportLifetime; };
    std::erase_if(direct_, isExpired);
    std::erase_if(forwarded_, isExpired);
}

void WorkCollector::Sums::add(const WorkAccount &account)
{
    for (const UpstreamWork &item : account.upstreams) {
        UpstreamWork &sum = upstreams[item.upstream];
        sum.upstream = item.upstream;
        sum.requests += item.requests;
        sum.tokens += item.tokens;
        sum.unreadTokens += item.unreadTokens;
        sum.waiting += item.waiting;
    }
    for (const PauseDemand &item : account.demands) {
        PauseDemand &sum = demands[item.pauseMilliseconds];
        sum.pauseMilliseconds = item.pauseMilliseconds;
        sum.work += item.work;
    }
}

WorkAccount WorkCollector::Sums::account() const
{
    return { listOf(upstreams), listOf(demands) };
}

} // namespace GeraniumLever
