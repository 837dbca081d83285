/** Tracks which prompt prefixes each upstream probably has in its cache. Bounded in size; entries are hints and may be
 * wrong. */
#pragma once

#include <deque>
#include <unordered_map>
#include <vector>

#include "core/core.h"

namespace GeraniumLever {

class PrefixTable
{
public:
    /** Adds the blocks of a prompt that is sent to the upstream, which will cache them. */
    void recordGrantedPrompt(const UpstreamName &upstream, const std::vector<std::uint64_t> &hashes);

    /** Applies a cache event of an upstream. A gap in its sequence numbers makes all older entries unconfirmed. */
    void applyCacheEvent(const CacheEvent &event);

    /** Discards the upstream's entries, for example after a crash. */
    void forget(const UpstreamName &upstream);

    /** Expected number of leading blocks that the upstream has cached; unconfirmed blocks count half. */
    double cachedBlocks(const UpstreamName &upstream, const std::vector<std::uint64_t> &hashes) const;

    /** Number of (block, upstream) entries. */
    std::size_t size() const { return entries_.size(); }

private:
    struct Key
    {
        /** The number in the upstream's cache state. */
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
        /** The epoch of the upstream's cache state when the entry was last confirmed. */
        std::uint32_t epoch = 0;
        /** Identifies the entry's current record in insertionOrder_; records with another stamp are stale. */
        std::uint64_t stamp = 0;
    };

    struct UpstreamCacheState
    {
        /** Stands for the upstream in keys; 0 if not assigned. Changes when its entries are discarded. */
        std::uint32_t number = 0;
        /** Sequence number of the last cache event; 0 if there was none. */
        std::uint64_t sequence = 0;
        /** Incremented at every sequence gap; entries of an older epoch are unconfirmed. */
        std::uint32_t epoch = 0;
    };

    UpstreamCacheState &cacheStateOf(const UpstreamName &upstream);
    void put(const Key &key, std::uint32_t epoch);
    void evictOldest();

    std::unordered_map<Key, Entry, KeyHash> entries_;
    /** Key and stamp of each insertion, oldest first. */
    std::deque<std::pair<Key, std::uint64_t>> insertionOrder_;
    std::unordered_map<UpstreamName, UpstreamCacheState> cacheStates_;
    std::uint32_t lastNumber_ = 0;
    std::uint64_t lastStamp_ = 0;
};

} // namespace GeraniumLever
