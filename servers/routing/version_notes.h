/** Notes in the store of the software versions at which streams may have begun. */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "servers/routing/route_table.h"
#include "servers/routing/upstream_directory.h"

namespace GeraniumLever {

/** How long after a version has left its pool, or a route has been changed, a caller may still take up a stream that
 *  began before. */
constexpr Duration MaxTakeUpAge = std::chrono::minutes(10);

/** A version that serves, or has served, in a pool. All times are the store's clock. */
struct NotedVersion
{
    std::string version;
    /** When it was found that no upstream states it any more; absent while one does. */
    std::optional<Duration> goneAt;

    auto operator<=>(const NotedVersion &) const = default;
};

/** What is noted about one pool. All times are the store's clock; zero stands for the first start of all nodes. */
struct PoolNote
{
    std::vector<NotedVersion> versions;
    /** All versions since then are noted. */
    Duration since { 0 };
    /** Digest of the routes whose resumable streams go to the pool. */
    std::uint64_t routes = 0;
    Duration routesSince { 0 };
    /** Era of the store in which since holds. A store that is restored from a copy has lost what was noted last. */
    std::uint64_t era = 0;

    auto operator<=>(const PoolNote &) const = default;
};

struct StoredPoolNote
{
    PoolNote note;
    /** Version of the row in the store. */
    std::uint64_t rowVersion = 0;
};

/** All notes as they were read from the store. */
struct StoredVersionNotes
{
    std::map<PoolName, StoredPoolNote> pools;
    StoreState state;
};

/** A note to write, unless its row has changed since it was read. */
struct VersionNoteUpdate
{
    PoolName pool;
    PoolNote note;
    /** 0 if there is no row yet. */
    std::uint64_t expectedRow = 0;

    auto operator<=>(const VersionNoteUpdate &) const = default;
};

/** Position of this node in the order in which all nodes are chosen to keep a pool's note up to date. */
using NoteKeeperRank = std::function<std::size_t(const PoolName &)>;

/** Compares the notes with the registered upstreams and the configuration. A version is noted before streams begin
 *  there as long as the pool has others, so the notes tell at which versions a stream can have begun even after all
 *  nodes were lost at once. */
class VersionNotes
{
public:
    /** isFirstStart: no node has run before this one and those that start together with it. */
    explicit VersionNotes(bool isFirstStart) : isFirstStart_(isFirstStart) { }

    /** Takes note of the store's era. */
    void updateEra(std::uint64_t era, TimePoint now);
    /** Takes note of the routes in force. */
    void updateRoutes(const RouteTable &table, TimePoint now);
    /** Takes note of the upstreams in the newest list. */
    void updateUpstreams(const Table<UpstreamName, UpstreamEntry> &entries, TimePoint now);
    /** Replaces the known notes. */
    void update(const StoredVersionNotes &stored, TimePoint now);

    /** True if the notes should be read now because one must be changed, or because there may be older ones. */
    bool needsRead(const NoteKeeperRank &rank, TimePoint now) const;

    /** Changes that the notes that were read last need and that this node should make. */
    std::vector<VersionNoteUpdate> updates(const NoteKeeperRank &rank, TimePoint now) const;

    /** The pool's note; nullptr if none is known. */
    const PoolNote *find(const PoolName &pool) const;

    /** The version at which all streams of the pool that a caller may take up must have begun, by the last read notes;
     *  absent if there may be others. */
    std::optional<std::string> onlyVersion(const PoolName &pool) const;

    /** All pools that serve resumable streams. */
    std::set<PoolName> pools() const;

    /** Pools of which the notes do not tell where a stream that can be taken up has begun. */
    std::set<PoolName> ambiguousPools(TimePoint now) const;

    /** The store's clock at some time, counted on from the last read; absent if it is not known. */
    std::optional<Duration> storeTime(TimePoint now) const;

private:
    /** What this node sees of a pool that serves resumable streams. */
    struct Pool
    {
        std::uint64_t routes = 0;
        /** True if a route goes to this pool and to others, so that a stream of the route may have begun in either. */
        bool sharesRoutes = false;
        std::set<std::string> versions;
        /** Since when an upstream has stated a version that is not noted as serving. */
        std::optional<TimePoint> unnotedSince;
        /** Since when the note has stated something that no longer holds. */
        std::optional<TimePoint> outdatedSince;
    };

    void compare(TimePoint now);
    std::optional<std::string> onlyVersion(const PoolName &pool, Duration storeNow) const;
    static bool isDue(const PoolName &name, const Pool &pool, const NoteKeeperRank &rank, TimePoint now);
    /** The versions at which streams that can be taken up may have begun. */
    static std::set<std::string> possibleVersions(const Pool &pool, const PoolNote &note, Duration storeNow);
    PoolNote correctedNote(const Pool &pool, const PoolNote &noted, bool dropGone, Duration storeNow) const;

    bool isFirstStart_ = false;
    std::uint64_t era_ = 0;
    bool hasUpstreams_ = false;
    std::map<PoolName, Pool> pools_;
    /** Versions of all pools, including those without resumable streams. */
    std::map<PoolName, std::set<std::string>> versions_;
    std::optional<StoredVersionNotes> stored_;
    /** When the notes arrived. */
    TimePoint storedAt_;
};

/** True if the note lists the version as one that serves. */
bool servesVersion(const PoolNote &note, const std::string &version);

} // namespace GeraniumLever
