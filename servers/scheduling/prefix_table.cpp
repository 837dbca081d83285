#include "servers/scheduling/prefix_table.h"

namespace GeraniumLever {

namespace {

/** Most entries of one shard. */
constexpr std::size_t MaxEntries = 32768;

/** Weight of a block whose entry is unsure. */
constexpr double UnsureBlock = 0.5;

} // namespace

PrefixTable::Source &PrefixTable::sourceOf(const UpstreamName &upstream)
{
    Source &source = sources_[upstream];
    if (source.number == 0) {
        source.number = ++lastNumber_;
    }
    return source;
}

void PrefixTable::put(const Key &key, std::uint32_t epoch)
{
    Entry &entry = entries_[key];
    entry.epoch = epoch;
    entry.stamp = ++lastStamp_;
    age_.emplace_back(key, entry.stamp);
    dropOldest();
}

void PrefixTable::dropOldest()
{
    // Entries that were renewed or removed leave outdated records in the order of age; these are bounded as well.
    while (entries_.size() > MaxEntries || age_.size() > 2 * MaxEntries) {
        const auto [key, stamp] = age_.front();
        age_.pop_front();
        const std::unordered_map<Key, Entry, KeyHash>::iterator found = entries_.find(key);
        if (found != entries_.end() && found->second.stamp == stamp) {
            entries_.erase(found);
        }
    }
}

void PrefixTable::noteGranted(const UpstreamName &upstream, const std::vector<std::uint64_t> &hashes)
{
    const Source &source = sourceOf(upstream);
    for (const std::uint64_t hash : hashes) {
        put(Key { source.number, hash }, source.epoch);
    }
}

void PrefixTable::noteEvent(const CacheEvent &event)
{
    Source &source = sourceOf(event.upstream);
    const bool gap = source.sequence != 0 && event.sequence != source.sequence + 1;
    source.epoch += gap ? 1 : 0;
    source.sequence = event.sequence;
    const Key key { source.number, event.blockHash };
    if (event.stored) {
        put(key, source.epoch);
    } else {
        entries_.erase(key);
    }
}

void PrefixTable::forget(const UpstreamName &upstream)
{
    // A new number makes the old entries unreachable; they age out.
    sources_.erase(upstream);
}

double PrefixTable::cachedBlocks(const UpstreamName &upstream, const std::vector<std::uint64_t> &hashes) const
{
    const std::unordered_map<UpstreamName, Source>::const_iterator source = sources_.find(upstream);
    if (source == sources_.end()) {
        return 0.0;
    }
    double blocks = 0.0;
    for (const std::uint64_t hash : hashes) {
        const std::unordered_map<Key, Entry, KeyHash>::const_iterator found =
            entries_.find(Key { source->second.number, hash });
        if (found == entries_.end()) {
            break;
        }
        blocks += found->second.epoch == source->second.epoch ? 1.0 : UnsureBlock;
    }
    return blocks;
}

} // namespace GeraniumLever
