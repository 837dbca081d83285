#include "servers/relay/stored_origins.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace GeraniumLever {

namespace {

/** Longer than any stream may be taken up after its node was lost. */
constexpr Duration RowLifetime = std::chrono::minutes(10);
/** Bounds the size of a row. */
constexpr std::size_t MaxEntries = 2000;

std::uint64_t hashOf(const std::string &stream)
{
    return XXH64(stream.data(), stream.size(), 0);
}

} // namespace

std::optional<StreamOrigin> StoredOrigins::find(const std::string &stream) const
{
    const std::uint64_t hash = hashOf(stream);
    std::optional<StreamOrigin> found;
    for (const auto &[key, row] : rows) {
        for (const auto &[origin, streams] : row.streams) {
            if (std::find(streams.begin(), streams.end(), hash) == streams.end()) {
                continue;
            }
            if (found.value_or(origin) != origin) {
                return std::nullopt;
            }
            found = origin;
        }
    }
    return found;
}

std::vector<std::string> StoredOrigins::outdatedRows() const
{
    std::vector<std::string> keys;
    for (const auto &[key, row] : rows) {
        if (state.clock.has_value() && *state.clock - row.writtenAt > RowLifetime) {
            keys.push_back(key);
        }
    }
    return keys;
}

bool UnfinishedStreams::add(const std::string &stream, const StreamOrigin &origin, TimePoint expiresAt)
{
    if (entries_.size() >= MaxEntries) {
        return false;
    }
    entries_[hashOf(stream)] = { origin, expiresAt };
    return true;
}

bool UnfinishedStreams::remove(const std::string &stream)
{
    return entries_.erase(hashOf(stream)) > 0;
}

bool UnfinishedStreams::expire(TimePoint now)
{
    return std::erase_if(entries_, [now](const auto &item) { return now >= item.second.expiresAt; }) > 0;
}

OriginStreams UnfinishedStreams::streamsOf(const std::set<PoolName> &pools) const
{
    OriginStreams streams;
    for (const auto &[hash, entry] : entries_) {
        if (pools.count(entry.origin.pool) > 0) {
            streams[entry.origin].push_back(hash);
        }
    }
    return streams;
}

Duration UnfinishedStreams::lifetime(TimePoint now) const
{
    Duration longest(0);
    for (const auto &[hash, entry] : entries_) {
        longest = std::max(longest, entry.expiresAt - now);
    }
    return longest;
}

} // namespace GeraniumLever
