/** Eras of the store, which begin when it is restored from a copy. */
#pragma once

#include <cstdint>
#include <limits>
#include <optional>

#include "core/core.h"

namespace GeraniumLever {

/** State of the store that an answer shows. */
struct StoreState
{
    /** Rises each time the store is restored from a copy; 0 if it never was, or if not stated. */
    std::uint64_t era = 0;
    /** The newest version of any row. A restored store gives the versions that it has lost out again. */
    std::uint64_t version = 0;
    /** The store's own clock when it sent the answer; absent if not stated. */
    std::optional<Duration> clock = std::nullopt;

    /** Two answers show the same state whenever they were sent. */
    bool operator==(const StoreState &other) const { return era == other.era && version == other.version; }
};

/** Outcome of a call that changes a row only at a certain version. */
struct RowChange
{
    bool isDone = false;
    /** Of the row now; 0 if there is none. */
    std::uint64_t version = 0;

    auto operator<=>(const RowChange &) const = default;
};

/** What a node knows about the store's current era, as told to other nodes. */
struct StoreEraReport
{
    /** 0 if not known. */
    std::uint64_t era = 0;
    /** Time since the first moment at which the era is known to have been seen by any node. */
    Duration age { 0 };
    /** The lowest StoreState::version that any node has seen in the era. */
    std::uint64_t firstVersion = std::numeric_limits<std::uint64_t>::max();

    auto operator<=>(const StoreEraReport &) const = default;
};

/** Time after a restoration within which the writers of lost rows are expected to have written them again. */
constexpr Duration StoreRewriteTime = std::chrono::seconds(3);

/** Tells which rows of the store were written after its last restoration, and whether lost rows may still be missing. A
 *  node that has just started cannot tell a young era from an old one until another node reports its age. */
class StoreEras
{
public:
    /** Records an answer that arrived at this time; returns true if a later era than the one known before has begun. */
    bool note(const StoreState &state, TimePoint now);

    /** Records what another node knows; returns true if it knows of a later era. */
    bool note(const StoreEraReport &report, TimePoint now);

    std::uint64_t era() const { return era_; }

    /** The first moment at which the era is known to have been seen by any node. */
    TimePoint since() const { return since_; }

    /** True if the answer precedes the current era. */
    bool isOutdated(const StoreState &state) const { return state.era < era_; }

    /** True if a row with this version was surely written in the current era, not restored from the copy. */
    bool isWrittenInEra(std::uint64_t rowVersion) const { return rowVersion > firstVersion_; }

    /** True if rows that the store has lost may have been missing from a read that was sent at this time. */
    bool mayLackRows(TimePoint asOf) const { return era_ != 0 && asOf < since_ + StoreRewriteTime; }

    StoreEraReport report(TimePoint now) const;

private:
    std::uint64_t era_ = 0;
    bool hasState_ = false;
    TimePoint since_;
    /** At least the newest version of the copy. */
    std::uint64_t firstVersion_ = std::numeric_limits<std::uint64_t>::max();
};

} // namespace GeraniumLever
