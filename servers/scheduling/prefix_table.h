/** Which upstreams probably have which prompt prefixes cached. Bounded; a hint that may be wrong. */
#pragma once

#include <deque>
#include <unordered_map>
#include <vector>

#include "core/core.h"

namespace GeraniumLever {

class PrefixTable
{
public:
    /** The prompt was sent to the upstream, which will cache it. */
    void recordGrantedPrompt(const UpstreamName &upstream, const std::vector<std::uint64_t> &hashes);

    /** Takes a cache event; a gap in the upstream's sequence makes its older entries unsure. */
    void applyCacheEvent(const CacheEvent &event);

    /** Forgets the upstream's entries, for example after a crash. */
    void forget(const UpstreamName &upstream);

    /** Expected number of leading blocks that the upstream has cached; unsure blocks count half. */
    double cachedBlocks(const UpstreamName &upstream, const std::vector<std::uint64_t> &hashes) const;

    /** Number of (block, upstream) entries. */
    std::size_t size() const { return entries_.size(); }

private:
    struct Key
    {
        std::uint32_t upstream = 0;
        std::uint64_t hash = 0;

        bool operator==(const Key &) const = default;
    };

    struct KeyHash
    {
        std::size_t operator()(const Key &key) const noexcept
        {
            return key.hash ^ (key.upstream * 0x9e3779b97f4a7c15ULL);
        }
    };

    struct Entry
    {
        /** The upstream's epoch when the entry was last confirmed. */
        std::uint32_t epoch = 0;
        /** Distinguishes the entry from earlier ones of the same key in the order of age. */
        std::uint64_t stamp = 0;
    };

    struct UpstreamCacheState
    {
        std::uint32_t number = 0;
        std::uint64_t sequence = 0;
        /** Grows with every gap; entries of an older epoch are unsure. */
        std::uint32_t epoch = 0;
    };

    UpstreamCacheState &cacheStateOf(const UpstreamName &upstream);
    void put(const Key &key, std::uint32_t epoch);
    void evictOldest();

    std::unordered_map<Key, Entry, KeyHash> entries_;
    std::deque<std::pair<Key, std::uint64_t>> insertionOrder_;
    std::unordered_map<UpstreamName, UpstreamCacheState> cacheStates_;
    std::uint32_t lastNumber_ = 0;
    std::uint64_t lastStamp_ = 0;
};

} // namespace GeraniumLever
