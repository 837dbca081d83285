#include "development/standins/engine_prefix_cache.h"

#include <algorithm>

namespace GeraniumLever {

namespace {

constexpr std::size_t MaxKeptEvents = 4096;

} // namespace

std::size_t EnginePrefixCache::use(std::string_view prompt, TimePoint now)
{
    std::vector<std::uint64_t> hashes = prefixBlockHashes(prompt);
    std::size_t cached = 0;
    while (cached < hashes.size() && std::find(blocks_.begin(), blocks_.end(), hashes[cached]) != blocks_.end()) {
        ++cached;
    }
    for (std::uint64_t hash : hashes) {
        store(hash, now);
    }
    return cached;
}

std::vector<PrefixCacheEvent> EnginePrefixCache::eventsAfter(std::uint64_t sequence, TimePoint now, Duration lag) const
{
    std::vector<PrefixCacheEvent> published;
    for (const PrefixCacheEvent &event : events_) {
        if (event.sequence > sequence && event.at + lag <= now) {
            published.push_back(event);
        }
    }
    return published;
}

std::uint32_t EnginePrefixCache::freePerMille() const
{
    return capacity_ == 0 ? 0 : static_cast<std::uint32_t>(1000 * (capacity_ - blocks_.size()) / capacity_);
}

void EnginePrefixCache::store(std::uint64_t block, TimePoint now)
{
    std::list<std::uint64_t>::iterator known = std::find(blocks_.begin(), blocks_.end(), block);
    if (known != blocks_.end()) {
        blocks_.splice(blocks_.begin(), blocks_, known);
        return;
    }
    if (capacity_ == 0) {
        return;
    }
    if (blocks_.size() == capacity_) {
        note(blocks_.back(), false, now);
        blocks_.pop_back();
    }
    blocks_.push_front(block);
    note(block, true, now);
}

void EnginePrefixCache::note(std::uint64_t block, bool stored, TimePoint now)
{
    events_.push_back({ ++lastSequence_, block, stored, now });
    if (events_.size() > MaxKeptEvents) {
        events_.pop_front();
    }
}

} // namespace GeraniumLever
