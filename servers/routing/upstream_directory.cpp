#include "servers/routing/upstream_directory.h"

#include <set>
#include <utility>

namespace GeraniumLever {

DirectoryChanges UpstreamDirectory::learn(const std::vector<UpstreamEntry> &list, TimePoint asOf, TimePoint now)
{
    DirectoryChanges changes;
    if (known_ && asOf < knownAsOf_) {
        return changes;
    }
    const bool returned = std::exchange(away_, false);
    known_ = true;
    knownAsOf_ = asOf;
    std::set<UpstreamName> listed;
    std::set<std::string> addresses;
    for (const UpstreamEntry &entry : list) {
        listed.insert(entry.name);
        addresses.insert(entry.address);
        const UpstreamEntry *known = entries_.find(entry.name);
        if (known == nullptr) {
            changes.added.push_back(entry.name);
        } else if (known->incarnation != entry.incarnation || known->address != entry.address) {
            changes.restarted.push_back(entry.name);
        } else if (entry.leaving && !known->leaving) {
            changes.leaving.push_back(entry.name);
        }
        entries_.put(entry.name, entry);
    }
    entries_.eraseIf([&](const UpstreamName &name, const UpstreamEntry &entry) {
        if (listed.count(name) > 0) {
            lapsed_.erase(name);
            return false;
        }
        if (returned) {
            lapsed_.put(name, now + ReregistrationGrace);
        }
        const TimePoint *keptUntil = lapsed_.find(name);
        if (keptUntil != nullptr && now < *keptUntil && addresses.count(entry.address) == 0) {
            return false;
        }
        lapsed_.erase(name);
        changes.removed.push_back(name);
        return true;
    });
    return changes;
}

DirectoryChanges UpstreamDirectory::expire(TimePoint now)
{
    DirectoryChanges changes;
    lapsed_.eraseIf([&](const UpstreamName &name, TimePoint keptUntil) {
        if (now < keptUntil) {
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
