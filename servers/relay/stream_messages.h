/** Messages in which relays tell each other where streams began. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/core.h"

namespace GeraniumLever {

/** Where the first event of a stream came from. Only upstreams of the same pool and version may continue it. */
struct StreamOrigin
{
    PoolName pool;
    /** Software version of the upstream; empty if it states none. */
    std::string version;

    auto operator<=>(const StreamOrigin &) const = default;
};

/** Hashes of streams' identifiers by the origins of the streams. */
using OriginStreams = std::map<StreamOrigin, std::vector<std::uint64_t>>;

/** Asks the receiver to remember where a stream began. Not acknowledged. */
struct StreamRecord
{
    NodeName node;
    /** The caller's identifier for the request that began the stream. */
    std::string stream;
    StreamOrigin origin;
    /** For how long the caller may take the stream up again. */
    Duration lifetime { 0 };

    auto operator<=>(const StreamRecord &) const = default;
};

/** Asks where a stream began. */
struct StreamQuery
{
    NodeName node;
    std::string stream;

    auto operator<=>(const StreamQuery &) const = default;
};

struct StreamReply
{
    NodeName node;
    std::string stream;
    /** Absent if the sender does not know. */
    std::optional<StreamOrigin> origin;

    auto operator<=>(const StreamReply &) const = default;
};

/** The unfinished streams of the sender, to be stored by the receiver. Replaces the sender's previous report, so that
 * lost reports do no harm. Answered by WorkTotals. */
struct OriginReport
{
    NodeName node;
    std::uint64_t incarnation = 0;
    /** Increases with each report of one incarnation. */
    std::uint64_t sequence = 0;
    /** For how long the last of the streams may be taken up again. */
    Duration lifetime { 0 };
    OriginStreams streams;

    auto operator<=>(const OriginReport &) const = default;
};

using StreamMessage = std::variant<StreamRecord, StreamQuery, StreamReply, OriginReport>;

/** Sends a message to another relay. */
struct OutgoingStreamMessage
{
    /** "a.b.c.d:port". */
    std::string address;
    StreamMessage message;

    auto operator<=>(const OutgoingStreamMessage &) const = default;
};

} // namespace GeraniumLever
