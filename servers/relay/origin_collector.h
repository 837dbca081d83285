/** Origins of streams that other relays report. */
#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "servers/relay/stream_messages.h"

namespace GeraniumLever {

/** Holds the newest report of each node's unfinished streams, and of each that has ended until its streams can no
 * longer be taken up. */
class OriginCollector
{
public:
    enum class Received : std::uint8_t {
        /** The report is older than the sender's last one, or there is no room for it. */
        Ignored,
        /** No stream has begun since the sender's last report. */
        Shorter,
        NewStreams,
    };

    Received receive(const OriginReport &report, TimePoint now);

    bool empty() const { return reports_.empty(); }

    /** Adds the streams of all reports; marks the reports as taken. */
    void takeStreams(OriginStreams &streams);

    /** What was taken last has been stored. */
    void noteStored();

    /** Sequence of the newest report of this incarnation of the node that is stored; 0 if there is none. */
    std::uint64_t storedSequence(const NodeName &node, std::uint64_t incarnation) const;

    /** Returns true if a report was dropped. */
    bool expire(TimePoint now);

    /** Maximum number of streams in all reports. */
    static constexpr std::size_t MaxStreams = 1900;

private:
    using Sender = std::pair<NodeName, std::uint64_t>;
    struct Reported
    {
        std::uint64_t sequence = 0;
        std::uint64_t takenSequence = 0;
        std::uint64_t storedSequence = 0;
        TimePoint expiresAt;
        OriginStreams streams;
    };

    std::size_t streamsExcept(const Sender &sender) const;

    std::map<Sender, Reported> reports_;
};

/** Number of streams. */
std::size_t countStreams(const OriginStreams &streams);

} // namespace GeraniumLever
