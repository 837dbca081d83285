#include "servers/routing/pool_versions.h"

#include <utility>

namespace GeraniumLever {

namespace {

/** Longest time without a list in which another version could have served unnoticed. */
constexpr Duration MaxListAge = std::chrono::seconds(4);

} // namespace

void PoolVersions::update(const Table<UpstreamName, UpstreamEntry> &entries, TimePoint asOf)
{
    std::map<PoolName, std::set<std::string>> versions;
    for (const auto &[name, entry] : entries) {
        versions[entry.pool].insert(entry.version);
    }
    const bool missedLists = asOf - listAsOf_ > MaxListAge;
    listAsOf_ = asOf;
    std::map<PoolName, OnlyVersion> before = std::exchange(only_, {});
    for (const auto &[pool, registered] : versions) {
        if (registered.size() != 1) {
            continue;
        }
        const std::string &version = *registered.begin();
        const auto known = before.find(pool);
        const bool continues = !missedLists && known != before.end() && known->second.version == version;
        only_[pool] = { version, continues ? known->second.since : asOf };
    }
}

std::optional<std::string> PoolVersions::onlyVersion(const PoolName &pool, Duration duration, TimePoint now) const
{
    const auto found = only_.find(pool);
    if (found == only_.end() || now - listAsOf_ > MaxListAge || now - found->second.since < duration) {
        return std::nullopt;
    }
    return found->second.version;
}

std::optional<std::string> PoolVersions::listedVersion(const PoolName &pool) const
{
    const auto found = only_.find(pool);
    return found == only_.end() ? std::nullopt : std::optional<std::string>(found->second.version);
}

} // namespace GeraniumLever
