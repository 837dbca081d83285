#include "servers/routing/upstream_directory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace GeraniumLever {

DirectoryChanges UpstreamDirectory::update(const std::vector<UpstreamEntry> &list, TimePoint asOf, TimePoint now)
{
    DirectoryChanges changes;
    if (hasList_ && asOf < listAsOf_) {
        return changes;
    }
    readSucceeded(asOf);
    const bool mayHaveLapsed = std::exchange(mayHaveLapsed_, false);
    hasList_ = true;
    listAsOf_ = asOf;
    std::set<UpstreamName> listed;
    std::set<std::string> addresses;
    for (const UpstreamEntry &entry : list) {
        listed.insert(entry.name);
        addresses.insert(entry.address);
        const UpstreamEntry *previous = entries_.find(entry.name);
        if (previous == nullptr) {
            changes.added.push_back(entry.name);
        } else if (previous->identity() != entry.identity()) {
            changes.restarted.push_back(entry.name);
        } else if (entry.leaving && !previous->leaving) {
            changes.leaving.push_back(entry.name);
        }
        entries_.put(entry.name, entry);
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
        changes.removed.push_back(name);
        return true;
    });
    return changes;
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
        if (entries_.erase(name)) {
            changes.removed.push_back(name);
        }
        return true;
    });
    return changes;
}

} // namespace GeraniumLever
