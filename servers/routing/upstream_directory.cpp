#include "servers/routing/upstream_directory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace GeraniumLever {

namespace {

/** How long it is remembered that an upstream was removed. */
constexpr Duration RemovedRowLifetime = std::chrono::minutes(10);

} // namespace

DirectoryChanges UpstreamDirectory::update(const StoredUpstreams &stored,
                                           const StoreEras &eras,
                                           TimePoint asOf,
                                           TimePoint now)
{
    DirectoryChanges changes;
    if (eras.isOutdated(stored.state) || (hasList_ && asOf < listAsOf_)) {
        return changes;
    }
    readSucceeded(asOf);
    const bool isRestored = hasList_ && stored.state.era > listState_.era;
    const bool mayHaveLapsed = std::exchange(mayHaveLapsed_, false) || isRestored;
    hasList_ = true;
    listAsOf_ = asOf;
    listState_ = stored.state;
    std::set<UpstreamName> listed;
    std::set<std::string> addresses;
    for (const UpstreamEntry &entry : stored.upstreams) {
        const UpstreamEntry *applied = apply(entry, stored, eras, now, changes);
        if (applied != nullptr) {
            listed.insert(applied->name);
            addresses.insert(applied->address);
        }
    }
    entries_.eraseIf([&](const UpstreamName &name, const UpstreamEntry &entry) {
        if (listed.count(name) > 0) {
            possiblyLapsed_.erase(name);
            return false;
        }
        if (mayHaveLapsed) {
            possiblyLapsed_.put(name, asOf + ReregistrationGrace);
        }
        const TimePoint *retainedUntil = possiblyLapsed_.find(name);
        if (retainedUntil != nullptr && now < *retainedUntil && addresses.count(entry.address) == 0) {
            return false;
        }
        possiblyLapsed_.erase(name);
        noteRemoved(entry, now, changes);
        return true;
    });
    knownRows_.eraseIf([&](const UpstreamName &name, const KnownRow &known) {
        return !entries_.contains(name) && now - known.seenAt > RemovedRowLifetime;
    });
    return changes;
}

const UpstreamEntry *UpstreamDirectory::apply(const UpstreamEntry &entry,
                                              const StoredUpstreams &stored,
                                              const StoreEras &eras,
                                              TimePoint now,
                                              DirectoryChanges &changes)
{
    const UpstreamEntry *previous = entries_.find(entry.name);
    if (isOutdated(entry, stored.state, eras)) {
        if (previous != nullptr) {
            return previous;
        }
        if (now < eras.since() + RestoredEntryLifetime) {
            return nullptr;
        }
    }
    if (previous == nullptr) {
        changes.added.push_back(entry.name);
    } else if (previous->identity() != entry.identity()) {
        changes.restarted.push_back(entry.name);
        if (!previous->leaving) {
            changes.lost.push_back(previous->identity());
        }
    } else if (entry.leaving && !previous->leaving) {
        changes.leaving.push_back(entry.name);
    }
    knownRows_.put(entry.name, { stored.state.era, entry.rowVersion, entry.incarnation, now });
    return &entries_.put(entry.name, entry);
}

bool UpstreamDirectory::isOutdated(const UpstreamEntry &entry, const StoreState &state, const StoreEras &eras) const
{
    const KnownRow *known = knownRows_.find(entry.name);
    if (known == nullptr || known->era >= state.era || eras.isWrittenInEra(entry.rowVersion)) {
        return false;
    }
    const UpstreamEntry *current = entries_.find(entry.name);
    const bool hasLeft = entry.leaving && current != nullptr && !current->leaving;
    return entry.rowVersion < known->version && entry.incarnation <= known->incarnation && !hasLeft;
}

void UpstreamDirectory::noteRemoved(const UpstreamEntry &entry, TimePoint now, DirectoryChanges &changes)
{
    changes.removed.push_back(entry.name);
    if (!entry.leaving) {
        changes.lost.push_back(entry.identity());
    }
    KnownRow *known = knownRows_.edit(entry.name);
    if (known != nullptr) {
        known->era = listState_.era;
        known->version = listState_.version;
        known->seenAt = now;
    }
}

void UpstreamDirectory::readSucceeded(TimePoint asOf)
{
    const Duration outage = asOf - answeredAsOf_;
    if (std::exchange(registryUnavailable_, false) && outage >= heartbeat_ * MinLapseHeartbeats) {
        mayHaveLapsed_ = true;
    }
    answeredAsOf_ = std::max(answeredAsOf_, asOf);
}

DirectoryChanges UpstreamDirectory::expire(TimePoint now)
{
    DirectoryChanges changes;
    possiblyLapsed_.eraseIf([&](const UpstreamName &name, TimePoint retainedUntil) {
        if (now < retainedUntil) {
            return false;
        }
        const UpstreamEntry *entry = entries_.find(name);
        if (entry != nullptr) {
            noteRemoved(*entry, now, changes);
            entries_.erase(name);
        }
        return true;
    });
    return changes;
}

} // namespace GeraniumLever
