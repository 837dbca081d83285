#include "servers/relay/crash_log.h"

#include <algorithm>

namespace GeraniumLever {

namespace {

constexpr Duration EntryLifetime = std::chrono::minutes(1);

} // namespace

void CrashLog::noteCrash(std::uint64_t upstream, TimePoint at)
{
    Entry *entry = entryOf(upstream, at);
    if (entry != nullptr && !entry->crashedAt.has_value()) {
        entry->crashedAt = at;
    }
}

void CrashLog::noteEnded(std::uint64_t upstream, TimePoint now)
{
    Entry *entry = entryOf(upstream, now);
    if (entry != nullptr && !entry->endedAt.has_value()) {
        entry->endedAt = now;
    }
}

bool CrashLog::isConfirmed(std::uint64_t upstream) const
{
    const auto found = entries_.find(upstream);
    if (found == entries_.end()) {
        return false;
    }
    const Entry &entry = found->second;
    return entry.crashedAt.has_value() && entry.endedAt.has_value() && *entry.crashedAt <= *entry.endedAt;
}

void CrashLog::expire(TimePoint now)
{
    std::erase_if(entries_, [now](const auto &entry) { return now - entry.second.changedAt > EntryLifetime; });
}

CrashLog::Entry *CrashLog::entryOf(std::uint64_t upstream, TimePoint now)
{
    if (entries_.size() >= MaxEntries && entries_.count(upstream) == 0) {
        return nullptr;
    }
    Entry &entry = entries_[upstream];
    entry.changedAt = std::max(entry.changedAt, now);
    return &entry;
}

} // namespace GeraniumLever
