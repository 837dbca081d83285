#include "servers/routing/upstream_notices.h"

#include <algorithm>
#include <utility>

namespace GeraniumLever {

namespace {

/** Exceeds the time that a leaving upstream goes on serving, and any outage in which its entry could reappear. */
constexpr Duration UnregisteredLifetime = std::chrono::minutes(10);

} // namespace

bool UpstreamNotices::noteLeaving(const UpstreamIdentity &upstream, TimePoint now)
{
    Notice &notice = noticeOf(upstream);
    notice.lastKnownAt = now;
    return !std::exchange(notice.isLeaving, true);
}

void UpstreamNotices::notePause(const UpstreamIdentity &upstream, Duration pause, TimePoint now)
{
    Notice &notice = noticeOf(upstream);
    // Responses can overtake each other, so a shorter pause does not end an earlier one.
    notice.pausedUntil = std::max(notice.pausedUntil, now + std::min(pause, MaxPause));
    notice.lastKnownAt = now;
}

TimePoint UpstreamNotices::pausedUntil(const UpstreamEntry &entry) const
{
    const Notice *notice = find(entry);
    return notice == nullptr ? TimePoint() : notice->pausedUntil;
}

bool UpstreamNotices::isLeaving(const UpstreamEntry &entry) const
{
    const Notice *notice = find(entry);
    return notice != nullptr && notice->isLeaving;
}

void UpstreamNotices::update(const Table<UpstreamName, UpstreamEntry> &entries, TimePoint now)
{
    for (auto &[name, notice] : notices_) {
        const UpstreamEntry *entry = entries.find(name);
        if (entry != nullptr && entry->identity() == notice.upstream) {
            notice.lastKnownAt = now;
        }
    }
    std::erase_if(notices_, [now](const auto &item) {
        const Notice &notice = item.second;
        return now - notice.lastKnownAt > UnregisteredLifetime && now >= notice.pausedUntil;
    });
}

const UpstreamNotices::Notice *UpstreamNotices::find(const UpstreamEntry &entry) const
{
    const auto [first, last] = notices_.equal_range(entry.name);
    const auto found = std::find_if(first, last, [&entry](const auto &item) {
        const UpstreamIdentity &upstream = item.second.upstream;
        return upstream.address == entry.address && upstream.incarnation == entry.incarnation;
    });
    return found == last ? nullptr : &found->second;
}

UpstreamNotices::Notice &UpstreamNotices::noticeOf(const UpstreamIdentity &upstream)
{
    const auto [first, last] = notices_.equal_range(upstream.name);
    const auto found =
        std::find_if(first, last, [&upstream](const auto &item) { return item.second.upstream == upstream; });
    return found == last ? notices_.emplace(upstream.name, Notice { upstream, false, {}, {} })->second : found->second;
}

} // namespace GeraniumLever
