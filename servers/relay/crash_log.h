/** The crashes that a node knows of, whichever requests were lost in them. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "core/core.h"

namespace GeraniumLever {

/** Crashes within this time may have one cause outside the upstreams, such as a failing link. */
constexpr Duration EpisodeLength = std::chrono::milliseconds(250);

/** Remembers when upstreams broke off their connections, and which of them the registry has shown to have ended since.
 *  Upstreams are named by the hash of their incarnation. */
class CrashLog
{
public:
    /** The upstream broke off a connection. */
    void noteCrash(std::uint64_t upstream, TimePoint at);

    /** The registry shows that this incarnation of the upstream has ended. */
    void noteEnded(std::uint64_t upstream, TimePoint now);

    /** True if the upstream has ended after it broke off a connection, so that it was no failure of the link. */
    bool isConfirmed(std::uint64_t upstream) const;

    /** Calls visit with each upstream that broke off a connection at about that time. */
    template<typename Visit>
    void forEachAt(TimePoint time, Visit visit) const
    {
        for (const auto &[upstream, entry] : entries_) {
            if (entry.crashedAt.has_value() && *entry.crashedAt >= time - EpisodeLength
                && *entry.crashedAt <= time + EpisodeLength) {
                visit(upstream);
            }
        }
    }

    /** Forgets what happened long ago. */
    void expire(TimePoint now);

    static constexpr std::size_t MaxEntries = 1024;

private:
    struct Entry
    {
        std::optional<TimePoint> crashedAt;
        std::optional<TimePoint> endedAt;
        TimePoint changedAt;
    };

    Entry *entryOf(std::uint64_t upstream, TimePoint now);

    std::map<std::uint64_t, Entry> entries_;
};

} // namespace GeraniumLever
