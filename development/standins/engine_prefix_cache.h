/** Prefix cache of the engine stand-in and the events that it publishes of it. */
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <string_view>
#include <vector>

#include "core/core.h"

namespace GeraniumLever {

/** A change of the cache. */
struct PrefixCacheEvent
{
    std::uint64_t sequence = 0;
    std::uint64_t block = 0;
    bool stored = true;
    TimePoint at;

    auto operator<=>(const PrefixCacheEvent &) const = default;
};

/** Least recently used blocks go first. */
class EnginePrefixCache
{
public:
    explicit EnginePrefixCache(std::size_t capacity) : capacity_(capacity) { }

    /** Stores the prompt's blocks and returns how many leading ones were there before. */
    std::size_t use(std::string_view prompt, TimePoint now);

    /** Events after a sequence number that are at least `lag` old, oldest first. */
    std::vector<PrefixCacheEvent> eventsAfter(std::uint64_t sequence, TimePoint now, Duration lag) const;

    /** Unused share in thousandths. */
    std::uint32_t freePerMille() const;

private:
    void store(std::uint64_t block, TimePoint now);
    void note(std::uint64_t block, bool stored, TimePoint now);

    std::size_t capacity_;
    /** Most recently used first. */
    std::list<std::uint64_t> blocks_;
    std::deque<PrefixCacheEvent> events_;
    std::uint64_t lastSequence_ = 0;
};

} // namespace GeraniumLever
