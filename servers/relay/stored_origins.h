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

/** The unfinished streams of one or more nodes. */
struct StoredOriginRow
{
    OriginStreams streams;
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
    /** Version that the row in the store must have; 0 if there must be none. */
    std::uint64_t expectedRow = 0;

    auto operator<=>(const StoredOriginUpdate &) const = default;
};

/** The unfinished streams of this node. */
class UnfinishedStreams
{
public:
    /** Returns false if there is no room. */
    bool add(const std::string &stream, const StreamOrigin &origin, TimePoint expiresAt);
    /** Returns false if the stream is not known. */
    bool remove(const std::string &stream);
    /** Returns true if a stream was dropped that can no longer be taken up. */
    bool expire(TimePoint now);

    /** The streams of the pools. */
    OriginStreams streamsOf(const std::set<PoolName> &pools) const;

    /** For how long the last of the streams may be taken up again. */
    Duration lifetime(TimePoint now) const;

private:
    struct Entry
    {
        StreamOrigin origin;
        TimePoint expiresAt;
    };

    std::map<std::uint64_t, Entry> entries_;
};

} // namespace GeraniumLever
