/** Origins of streams that the store keeps while the notes on versions do not tell them. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "servers/relay/stream_messages.h"
#include "servers/routing/routing.h"

namespace GeraniumLever {

/** The unfinished streams of one node. */
struct StoredOriginRow
{
    /** Hashes of the streams' identifiers. */
    using Streams = std::map<StreamOrigin, std::vector<std::uint64_t>>;

    Streams streams;
    /** The store's clock when the row was written, as far as the node knew it. */
    Duration writtenAt { 0 };

    auto operator<=>(const StoredOriginRow &) const = default;
};

/** All rows as they were read from the store, by node and incarnation. */
struct StoredOrigins
{
    std::map<std::string, StoredOriginRow> rows;
    StoreState state;

    /** The origin of a stream; absent if no row names it, or if two differ. */
    std::optional<StreamOrigin> find(const std::string &stream) const;

    /** Keys of rows whose streams can no longer be taken up. */
    std::vector<std::string> outdatedRows() const;
};

/** Change of the rows in the store. */
struct StoredOriginUpdate
{
    /** The key of this node's row. */
    std::string key;
    StoredOriginRow row;
    std::vector<std::string> removals;

    auto operator<=>(const StoredOriginUpdate &) const = default;
};

/** The unfinished streams of this node, for its row in the store. */
class OriginBackup
{
public:
    void add(const std::string &stream, const StreamOrigin &origin, TimePoint expiresAt);
    void remove(const std::string &stream);
    void expire(TimePoint now);

    /** True if the streams have changed since the last call of takeRow(). */
    bool hasChanged() const { return hasChanged_; }

    /** The row that the store should have: the streams of the pools. */
    StoredOriginRow takeRow(const std::set<PoolName> &pools, Duration storeNow);

private:
    struct Entry
    {
        StreamOrigin origin;
        TimePoint expiresAt;
    };

    std::map<std::uint64_t, Entry> entries_;
    bool hasChanged_ = false;
};

} // namespace GeraniumLever
