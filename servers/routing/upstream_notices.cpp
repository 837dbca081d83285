#include "servers/routing/upstream_notices.h"

#include <algorithm>
#include <utility>

namespace GeraniumLever {

namespace {

/** Exceeds the time that a leaving upstream goes on serving, and any outage in which its entry could reappear. */
constexpr Duration UnregisteredLifetime = std::chrono::minutes(10);
/** Longest time in which an upstream that has crashed is back, and in which its new incarnation is registered. */
constexpr Duration MaxRestartTime = std::chrono::seconds(15);
constexpr Duration MaxRegistrationTime = std::chrono::seconds(5);
/** Until then the registry, or the upstream again, has said the same if it still holds. */
constexpr Duration CarriedLifetime = std::chrono::seconds(10);

} // namespace

bool UpstreamNotices::noteLeaving(const UpstreamIdentity &upstream, TimePoint now)
{
    Notice &notice = noticeOf(upstream);
    notice.lastKnownAt = now;
    notice.carriedUntil.reset();
    return !std::exchange(notice.isLeaving, true);
}

void UpstreamNotices::notePause(const UpstreamIdentity &upstream, Duration pause, TimePoint now)
{
    Notice &notice = noticeOf(upstream);
    // Responses can overtake each other, so a shorter pause does not end an earlier one.
    notice.pausedUntil = std::max(notice.pausedUntil, now + std::min(pause, MaxPause));
    notice.lastKnownAt = now;
}

void UpstreamNotices::noteAfterLoss(const UpstreamIdentity &upstream,
                                    bool leaving,
                                    const std::optional<Duration> &pause,
                                    Duration sinceLoss,
                                    TimePoint now)
{
    if (sinceLoss > MaxRestartTime) {
        return;
    }
    Notice &notice = noticeOf(upstream);
    Unattributed statements = notice.unattributed.value_or(Unattributed());
    statements.isLeaving = statements.isLeaving || leaving;
    statements.pausedUntil = std::max(statements.pausedUntil, now + std::min(pause.value_or(Duration(0)), MaxPause));
    statements.statedAt = now;
    notice.unattributed = statements;
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

std::vector<UpstreamName> UpstreamNotices::update(const Table<UpstreamName, UpstreamEntry> &entries, TimePoint now)
{
    std::vector<std::pair<Unattributed, UpstreamIdentity>> carried;
    for (auto &[name, notice] : notices_) {
        if (notice.carriedUntil.has_value() && now >= *notice.carriedUntil) {
            notice.carriedUntil.reset();
            notice.isLeaving = false;
        }
        const UpstreamEntry *entry = entries.find(name);
        if (entry == nullptr || entry->address != notice.upstream.address) {
            continue;
        }
        if (entry->incarnation == notice.upstream.incarnation) {
            notice.lastKnownAt = now;
        } else if (entry->incarnation > notice.upstream.incarnation && notice.unattributed.has_value()) {
            const Unattributed statements = *std::exchange(notice.unattributed, std::nullopt);
            if (now - statements.statedAt <= MaxRegistrationTime) {
                carried.emplace_back(statements, entry->identity());
            }
        }
    }
    std::vector<UpstreamName> names;
    for (const auto &[statements, next] : carried) {
        carryOver(statements, next, now);
        names.push_back(next.name);
    }
    std::erase_if(notices_, [now](const auto &item) {
        const Notice &notice = item.second;
        return now - notice.lastKnownAt > UnregisteredLifetime && now >= notice.pausedUntil;
    });
    return names;
}

void UpstreamNotices::carryOver(const Unattributed &statements, const UpstreamIdentity &next, TimePoint now)
{
    Notice &carried = noticeOf(next);
    carried.lastKnownAt = now;
    // The upstream may have started more than once before its first start is registered.
    if (!carried.unattributed.has_value() || carried.unattributed->statedAt < statements.statedAt) {
        carried.unattributed = statements;
    }
    carried.pausedUntil = std::max(carried.pausedUntil, std::min(statements.pausedUntil, now + CarriedLifetime));
    if (statements.isLeaving && !carried.isLeaving) {
        carried.isLeaving = true;
        carried.carriedUntil = now + CarriedLifetime;
    }
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
    return found == last ? notices_.emplace(upstream.name, Notice { upstream, false, {}, {}, {}, {} })->second
                         : found->second;
}

} // namespace GeraniumLever
