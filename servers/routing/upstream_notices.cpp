#include "servers/routing/upstream_notices.h"

#include <algorithm>

namespace GeraniumLever {

namespace {

/** Exceeds the time that a leaving upstream goes on serving, and any outage in which its entry could reappear. */
constexpr Duration UnregisteredLifetime = std::chrono::minutes(10);

} // namespace

void UpstreamNotices::noteLeaving(const UpstreamIdentity &upstream, TimePoint now)
{
    Notice &notice = notices_[upstream];
    notice.isLeaving = true;
    notice.lastKnownAt = now;
}

void UpstreamNotices::notePause(const UpstreamIdentity &upstream, Duration pause, TimePoint now)
{
    Notice &notice = notices_[upstream];
    // Responses can overtake each other, so a shorter pause does not end an earlier one.
    notice.pausedUntil = std::max(notice.pausedUntil, now + std::min(pause, MaxPause));
    notice.lastKnownAt = now;
}

TimePoint UpstreamNotices::pausedUntil(const UpstreamIdentity &upstream) const
{
    const auto found = notices_.find(upstream);
    return found == notices_.end() ? TimePoint() : found->second.pausedUntil;
}

bool UpstreamNotices::isLeaving(const UpstreamIdentity &upstream) const
{
    const auto found = notices_.find(upstream);
    return found != notices_.end() && found->second.isLeaving;
}

void UpstreamNotices::update(const Table<UpstreamName, UpstreamEntry> &entries, TimePoint now)
{
    for (auto &[upstream, notice] : notices_) {
        const UpstreamEntry *entry = entries.find(upstream.name);
        if (entry != nullptr && entry->identity() == upstream) {
            notice.lastKnownAt = now;
        }
    }
    std::erase_if(notices_, [now](const auto &item) {
        const Notice &notice = item.second;
        return now - notice.lastKnownAt > UnregisteredLifetime && now >= notice.pausedUntil;
    });
}

} // namespace GeraniumLever
