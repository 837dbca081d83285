#include "servers/routing/version_notes.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace GeraniumLever {

namespace {

/** The nodes try one after the other, so that usually only the first one writes. */
constexpr Duration UnnotedRankDelay = std::chrono::milliseconds(100);
constexpr Duration OutdatedRankDelay = std::chrono::seconds(30);
constexpr std::size_t MaxRank = 20;
/** A version whose entries lapsed for a moment has not left. */
constexpr Duration OutdatedDelay = std::chrono::seconds(3);
/** Bounds a note's size. */
constexpr std::size_t MaxVersions = 64;

std::uint64_t digestOf(const Route &route)
{
    // No part can contain the separator.
    constexpr char Separator = '\0';
    std::string text = route.host + Separator + route.pathPrefix;
    for (const PoolShare &share : route.pools) {
        text += Separator + share.pool.text();
    }
    return XXH64(text.data(), text.size(), 0);
}

bool mayBeTakenUp(Duration changedAt, Duration storeNow)
{
    return changedAt != Duration(0) && storeNow - changedAt < MaxTakeUpAge;
}

} // namespace

bool servesVersion(const PoolNote &note, const std::string &version)
{
    return std::any_of(note.versions.begin(), note.versions.end(), [&version](const NotedVersion &noted) {
        return noted.version == version && !noted.goneAt.has_value();
    });
}

void VersionNotes::updateEra(std::uint64_t era, TimePoint now)
{
    if (std::exchange(era_, era) != era) {
        compare(now);
    }
}

void VersionNotes::updateRoutes(const RouteTable &table, TimePoint now)
{
    std::map<PoolName, std::uint64_t> digests;
    std::set<PoolName> sharing;
    for (const Route &route : table.configuration().routes) {
        if (!route.streamed || !route.resumable) {
            continue;
        }
        // A sum does not depend on the order of the routes.
        const std::uint64_t digest = digestOf(route);
        for (const PoolShare &share : route.pools) {
            digests[share.pool] += digest;
            if (route.pools.size() > 1) {
                sharing.insert(share.pool);
            }
        }
    }
    std::erase_if(pools_, [&digests](const auto &item) { return digests.count(item.first) == 0; });
    for (const auto &[pool, digest] : digests) {
        pools_[pool].routes = digest;
        pools_[pool].sharesRoutes = sharing.count(pool) > 0;
        pools_[pool].versions = versions_[pool];
    }
    compare(now);
}

void VersionNotes::updateUpstreams(const Table<UpstreamName, UpstreamEntry> &entries, TimePoint now)
{
    versions_.clear();
    for (const auto &[name, entry] : entries) {
        versions_[entry.pool].insert(entry.version);
    }
    for (auto &[name, pool] : pools_) {
        pool.versions = versions_[name];
    }
    hasUpstreams_ = true;
    compare(now);
}

void VersionNotes::update(const StoredVersionNotes &stored, TimePoint now)
{
    stored_ = stored;
    storedAt_ = now;
    compare(now);
}

void VersionNotes::compare(TimePoint now)
{
    const auto track = [now](std::optional<TimePoint> &since, bool holds) {
        since = holds ? since.value_or(now) : std::optional<TimePoint>();
    };
    for (auto &[name, pool] : pools_) {
        const PoolNote *note = find(name);
        const bool isUnnoted =
            std::any_of(pool.versions.begin(), pool.versions.end(), [note](const std::string &version) {
                return note == nullptr || !servesVersion(*note, version);
            });
        const bool isOutdated = note != nullptr && hasUpstreams_
            && (note->era != era_ || note->routes != pool.routes
                || std::any_of(note->versions.begin(), note->versions.end(), [&pool = pool](const NotedVersion &noted) {
                       return !noted.goneAt.has_value() && pool.versions.count(noted.version) == 0;
                   }));
        track(pool.unnotedSince, isUnnoted);
        track(pool.outdatedSince, isOutdated);
    }
}

bool VersionNotes::isDue(const PoolName &name, const Pool &pool, const NoteKeeperRank &rank, TimePoint now)
{
    // The rank takes a look at all nodes.
    if (!pool.unnotedSince.has_value() && !pool.outdatedSince.has_value()) {
        return false;
    }
    const Duration::rep turn = static_cast<Duration::rep>(std::min(rank(name), MaxRank));
    return (pool.unnotedSince.has_value() && now >= *pool.unnotedSince + UnnotedRankDelay * turn)
        || (pool.outdatedSince.has_value() && now >= *pool.outdatedSince + OutdatedDelay + OutdatedRankDelay * turn);
}

bool VersionNotes::needsRead(const NoteKeeperRank &rank, TimePoint now) const
{
    const bool isDueForAny = std::any_of(
        pools_.begin(), pools_.end(), [&](const auto &item) { return isDue(item.first, item.second, rank, now); });
    const bool mayHaveNotes = !stored_.has_value() && !isFirstStart_;
    return hasUpstreams_ && !pools_.empty() && (mayHaveNotes || isDueForAny);
}

std::vector<VersionNoteUpdate> VersionNotes::updates(const NoteKeeperRank &rank, TimePoint now) const
{
    std::vector<VersionNoteUpdate> updates;
    if (!stored_.has_value() || !stored_->state.clock.has_value()) {
        return updates;
    }
    for (const auto &[name, pool] : pools_) {
        if (!isDue(name, pool, rank, now)) {
            continue;
        }
        const Duration storeNow = *stored_->state.clock;
        const bool dropGone = pool.outdatedSince.has_value() && now >= *pool.outdatedSince + OutdatedDelay;
        const auto known = stored_->pools.find(name);
        PoolNote noted;
        if (known != stored_->pools.end()) {
            noted = known->second.note;
        } else {
            const bool isFirst = isFirstStart_ && stored_->state.era == 0;
            noted.since = isFirst ? Duration(0) : storeNow;
            noted.era = stored_->state.era;
            noted.routes = pool.routes;
            noted.routesSince = noted.since;
        }
        updates.push_back({ name,
                            correctedNote(pool, noted, dropGone, storeNow),
                            known == stored_->pools.end() ? 0 : known->second.rowVersion });
    }
    return updates;
}

PoolNote VersionNotes::correctedNote(const Pool &pool, const PoolNote &noted, bool dropGone, Duration storeNow) const
{
    PoolNote note = noted;
    // Entries that the store has lost are back by the time at which outdated notes are corrected.
    if (dropGone && note.era != stored_->state.era) {
        note.era = stored_->state.era;
        note.since = storeNow;
    }
    if (note.routes != pool.routes) {
        note.routes = pool.routes;
        note.routesSince = storeNow;
    }
    for (NotedVersion &version : note.versions) {
        if (pool.versions.count(version.version) > 0) {
            version.goneAt.reset();
        } else if (dropGone && !version.goneAt.has_value()) {
            version.goneAt = storeNow;
        }
    }
    for (const std::string &version : pool.versions) {
        if (!servesVersion(note, version)) {
            note.versions.push_back({ version, std::nullopt });
        }
    }
    std::erase_if(note.versions, [storeNow](const NotedVersion &version) {
        return version.goneAt.has_value() && !mayBeTakenUp(*version.goneAt, storeNow);
    });
    if (note.versions.size() > MaxVersions) {
        std::erase_if(note.versions, [](const NotedVersion &version) { return version.goneAt.has_value(); });
        note.since = storeNow;
    }
    return note;
}

const PoolNote *VersionNotes::find(const PoolName &pool) const
{
    if (!stored_.has_value()) {
        return nullptr;
    }
    const auto found = stored_->pools.find(pool);
    return found == stored_->pools.end() ? nullptr : &found->second.note;
}

std::optional<std::string> VersionNotes::onlyVersion(const PoolName &pool) const
{
    const bool hasClock = stored_.has_value() && stored_->state.clock.has_value();
    return hasClock ? onlyVersion(pool, *stored_->state.clock) : std::nullopt;
}

std::optional<std::string> VersionNotes::onlyVersion(const PoolName &pool, Duration storeNow) const
{
    const PoolNote *note = find(pool);
    const auto seen = pools_.find(pool);
    if (note == nullptr || seen == pools_.end() || note->era != era_) {
        return std::nullopt;
    }
    const bool routesMayDiffer = note->routes != seen->second.routes || mayBeTakenUp(note->routesSince, storeNow);
    if (routesMayDiffer || mayBeTakenUp(note->since, storeNow)) {
        return std::nullopt;
    }
    const std::set<std::string> possible = possibleVersions(seen->second, *note, storeNow);
    const bool isNoted = possible.size() == 1 && servesVersion(*note, *possible.begin());
    return isNoted ? std::optional<std::string>(*possible.begin()) : std::nullopt;
}

std::set<std::string> VersionNotes::possibleVersions(const Pool &pool, const PoolNote &note, Duration storeNow)
{
    std::set<std::string> possible = pool.versions;
    for (const NotedVersion &version : note.versions) {
        if (!version.goneAt.has_value() || mayBeTakenUp(*version.goneAt, storeNow)) {
            possible.insert(version.version);
        }
    }
    return possible;
}

std::set<PoolName> VersionNotes::pools() const
{
    std::set<PoolName> names;
    for (const auto &[name, pool] : pools_) {
        names.insert(name);
    }
    return names;
}

std::set<PoolName> VersionNotes::ambiguousPools(TimePoint now) const
{
    std::set<PoolName> ambiguous;
    const std::optional<Duration> storeNow = storeTime(now);
    for (const auto &[name, pool] : pools_) {
        if (pool.sharesRoutes || !storeNow.has_value() || !onlyVersion(name, *storeNow).has_value()) {
            ambiguous.insert(name);
        }
    }
    return ambiguous;
}

std::optional<Duration> VersionNotes::storeTime(TimePoint now) const
{
    if (!stored_.has_value() || !stored_->state.clock.has_value()) {
        return std::nullopt;
    }
    return *stored_->state.clock + (now - storedAt_);
}

} // namespace GeraniumLever
