#include "servers/scheduling/prefix_table.h"

namespace GeraniumLever {

namespace {

/** Maximum number of entries per shard. */
constexpr std::size_t MaxEntries = 32768;

/** Weight of a block whose entry has not been confirmed since a gap in the upstream's cache events. */
constexpr double UnconfirmedBlockWeight = 0.5;

} // namespace

PrefixTable::UpstreamCacheState &PrefixTable::cacheStateOf(const UpstreamName &upstream)
{
    UpstreamCacheState &cache = cacheStates_[upstream];
    if (cache.number == 0) {
        cache.number = ++lastNumber_;
    }
    return cache;
}

void PrefixTable::put(const Key &key, std::uint32_t epoch)
{
    Entry &entry = entries_[key];
    entry.epoch = epoch;
    entry.stamp = ++lastStamp_;
    insertionOrder_.emplace_back(key, entry.stamp);
    evictOldest();
}

void PrefixTable::evictOldest()
{
    // Renewed and removed entries leave stale records in insertionOrder_, so its length is limited as well.
    while (entries_.size() > MaxEntries || insertionOrder_.size() > 2 * MaxEntries) {
        const auto [key, stamp] = insertionOrder_.front();
        insertionOrder_.pop_front();
        const std::unordered_map<Key, Entry, KeyHash>::iterator found = entries_.find(key);
        if (found != entries_.end() && found->second.stamp == stamp) {
            entries_.erase(found);
        }
    }
}

void PrefixTable::recordGrantedPrompt(const UpstreamName &upstream, const std::vector<std::uint64_t> &hashes)
{
    const UpstreamCacheState &cache = cacheStateOf(upstream);
    for (const std::uint64_t hash : hashes) {
        put(Key { cache.number, hash }, cache.epoch);
    }
}

void PrefixTable::applyCacheEvent(const CacheEvent &event)
{
    UpstreamCacheState &cache = cacheStateOf(event.upstream);
    const bool gap = cache.sequence != 0 && event.sequence != cache.sequence + 1;
    cache.epoch += gap ? 1 : 0;
    cache.sequence = event.sequence;
    const Key key { cache.number, event.blockHash };
    if (event.stored) {
        put(key, cache.epoch);
    } else {
        entries_.erase(key);
    }
}

void PrefixTable::forget(const UpstreamName &upstream)
{
    // The upstream gets a new number with its next entry. The old entries are then never found and are evicted in time.
    cacheStates_.erase(upstream);
}

double PrefixTable::cachedBlocks(const UpstreamName &upstream, const std::vector<std::uint64_t> &hashes) const
{
    const std::unordered_map<UpstreamName, UpstreamCacheState>::const_iterator cache = cacheStates_.find(upstream);
    if (cache == cacheStates_.end()) {
        return 0.0;
    }
    double blocks = 0.0;
    for (const std::uint64_t hash : hashes) {
        const std::unordered_map<Key, Entry, KeyHash>::const_iterator found =
            entries_.find(Key { cache->second.number, hash });
        if (found == entries_.end()) {
            break;
        }
        blocks += found->second.epoch == cache->second.epoch ? 1.0 : UnconfirmedBlockWeight;
    }
    return blocks;
}

} // namespace GeraniumLever
