/** The upstreams that have registered themselves. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"

namespace GeraniumLever {

/** One registered upstream. */
struct UpstreamEntry
{
    UpstreamName name;
    PoolName pool;
    /** "a.b.c.d:port". */
    std::string address;
    DataCenterName dataCenter;
    /** Requests that it serves at once. */
    std::uint32_t seats = 1;
    /** True if it must get no new work. */
    bool leaving = false;
    /** How much longer it is slow after its start. */
    Duration warmUpLeft { 0 };
    /** Distinguishes two starts under one name; 0 if not stated. */
    std::uint64_t incarnation = 0;

    auto operator<=>(const UpstreamEntry &) const = default;
};

/** What a list has changed. */
struct DirectoryChanges
{
    std::vector<UpstreamName> added;
    std::vector<UpstreamName> leaving;
    std::vector<UpstreamName> removed;
    /** Started again under the same name. */
    std::vector<UpstreamName> restarted;

    bool empty() const { return added.empty() && leaving.empty() && removed.empty() && restarted.empty(); }
};

/** How long after the registry's return an entry that lapsed meanwhile may take to register again. */
constexpr Duration ReregistrationGrace = std::chrono::milliseconds(2200);

/** Follows whole lists of the registry. An entry that is missing from every list since the registry was away may have
 *  lapsed with it, and is kept until ReregistrationGrace has passed. */
class UpstreamDirectory
{
public:
    /** Takes a whole list, which was true at some moment not before asOf. */
    DirectoryChanges learn(const std::vector<UpstreamEntry> &list, TimePoint asOf, TimePoint now);

    /** Removes the entries that have not come back in time. To be called every few hundredths of a second. */
    DirectoryChanges expire(TimePoint now);

    /** Notes that the registry did not answer. */
    void readFailed() { away_ = true; }

    const Table<UpstreamName, UpstreamEntry> &entries() const { return entries_; }

    /** True once a list has arrived. */
    bool known() const { return known_; }

private:
    Table<UpstreamName, UpstreamEntry> entries_;
    /** Start of the reading that gave the newest list. */
    TimePoint knownAsOf_;
    /** Entries that may have lapsed, with the time until which they are kept. */
    Table<UpstreamName, TimePoint> lapsed_;
    bool away_ = false;
    bool known_ = false;
};

} // namespace GeraniumLever
