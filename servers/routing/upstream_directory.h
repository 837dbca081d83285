/** Directory of the registered upstreams. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "servers/routing/store_eras.h"

namespace GeraniumLever {

/** Identifies one incarnation of an upstream. */
struct UpstreamIdentity
{
    UpstreamName name;
    /** "a.b.c.d:port". */
    std::string address;
    /** Distinguishes restarts under the same name and address; 0 if not stated. */
    std::uint64_t incarnation = 0;

    auto operator<=>(const UpstreamIdentity &) const = default;
};

/** One registered upstream. */
struct UpstreamEntry
{
    UpstreamName name;
    PoolName pool;
    /** "a.b.c.d:port". */
    std::string address;
    DataCenterName dataCenter;
    /** Version of its software; versions have no order. Empty if not stated. */
    std::string version;
    /** Requests that it serves concurrently. */
    std::uint32_t seats = 1;
    /** True if it is draining and must get no new requests. */
    bool leaving = false;
    /** Remaining warm-up time after its start, during which it is slow. */
    Duration warmUpLeft { 0 };
    /** Distinguishes restarts under the same name; 0 if not stated. */
    std::uint64_t incarnation = 0;
    /** Version of its row in the store. */
    std::uint64_t rowVersion = 0;

    UpstreamIdentity identity() const { return { name, address, incarnation }; }

    auto operator<=>(const UpstreamEntry &) const = default;
};

/** All registered upstreams as they were read from the store. */
struct StoredUpstreams
{
    std::vector<UpstreamEntry> upstreams;
    StoreState state;
};

/** Differences between two successive lists of upstreams. */
struct DirectoryChanges
{
    std::vector<UpstreamName> added;
    std::vector<UpstreamName> leaving;
    std::vector<UpstreamName> removed;
    /** Restarted under the same name. */
    std::vector<UpstreamName> restarted;
    /** The incarnations that have ended without a word that they leave. */
    std::vector<UpstreamIdentity> lost;

    bool empty() const { return added.empty() && leaving.empty() && removed.empty() && restarted.empty(); }
};

/** Time after a registry outage in which an upstream whose entry lapsed during the outage may register again. With the
 *  time that a read takes to fail and be repeated, it must fit into the three seconds after which a node counts as
 *  connected to the store again. */
constexpr Duration ReregistrationGrace = std::chrono::milliseconds(2200);

/** An entry lapses after three missed heartbeats, one of which it may have missed before an outage. */
constexpr double MinLapseHeartbeats = 1.5;

/** Time after a restoration of the store after which a restored entry has lapsed unless its upstream renews it. */
constexpr Duration RestoredEntryLifetime = std::chrono::seconds(10);

/** Applies complete lists read from the registry. An entry that is missing from every list since a registry outage may
 *  have lapsed only because of the outage, so it is retained until ReregistrationGrace has passed; the same holds for
 *  one that a restored store has lost. What a restored store states of an upstream is ignored if a row that is known
 *  from before says otherwise and is newer. */
class UpstreamDirectory
{
public:
    /** Sets the interval at which upstreams renew their entries. An outage that is shorter than MinLapseHeartbeats
     *  intervals lets no entry lapse. */
    void setHeartbeat(Duration interval) { heartbeat_ = interval; }

    /** Applies a complete list, which was current at some time not before asOf. Lists older than the last one are
     *  ignored. eras: must know of the list's state. */
    DirectoryChanges update(const StoredUpstreams &stored, const StoreEras &eras, TimePoint asOf, TimePoint now);

    /** Removes the entries that did not register again in time. To be called every few tens of milliseconds. */
    DirectoryChanges expire(TimePoint now);

    /** Records that the registry did not answer. */
    void readFailed() { registryUnavailable_ = true; }

    /** Records that the registry answered a read that was sent at asOf. */
    void readSucceeded(TimePoint asOf);

    const Table<UpstreamName, UpstreamEntry> &entries() const { return entries_; }

    /** True once a list has arrived. */
    bool hasList() const { return hasList_; }

private:
    /** The newest row of an upstream that a list has shown, or the first list without it. */
    struct KnownRow
    {
        std::uint64_t era = 0;
        /** Of the row, or of the store when it was found missing. */
        std::uint64_t version = 0;
        std::uint64_t incarnation = 0;
        TimePoint seenAt;
    };

    /** True if the row precedes the one that is known. */
    bool isOutdated(const UpstreamEntry &entry, const StoreState &state, const StoreEras &eras) const;
    /** Applies a listed entry; returns the one that holds now, or nullptr if the upstream is gone. */
    const UpstreamEntry *apply(const UpstreamEntry &entry,
                               const StoredUpstreams &stored,
                               const StoreEras &eras,
                               TimePoint now,
                               DirectoryChanges &changes);
    void noteRemoved(const UpstreamEntry &entry, TimePoint now, DirectoryChanges &changes);

    Table<UpstreamName, UpstreamEntry> entries_;
    Table<UpstreamName, KnownRow> knownRows_;
    /** State of the store that the newest list showed. */
    StoreState listState_;
    /** When the read that returned the newest list was sent. */
    TimePoint listAsOf_;
    /** Entries that may have lapsed during an outage, with the time until which they are retained. */
    Table<UpstreamName, TimePoint> possiblyLapsed_;
    Duration heartbeat_ { 0 };
    /** When the last read that the registry answered was sent. */
    TimePoint answeredAsOf_;
    bool registryUnavailable_ = false;
    /** True if entries may be missing from the next list only because of an outage. */
    bool mayHaveLapsed_ = false;
    bool hasList_ = false;
};

} // namespace GeraniumLever
