/** The store's table of notes on versions, as nodes see it. */
#pragma once

#include "servers/routing/routing.h"

namespace GeraniumLever {

class FakeVersionTable
{
public:
    StoredVersionNotes read(TimePoint now) const
    {
        StoredVersionNotes stored;
        stored.pools = rows_;
        stored.state = { era_, lastVersion_, now.time_since_epoch() };
        return stored;
    }

    /** Returns false if the row has changed. */
    bool write(const VersionNoteUpdate &update)
    {
        StoredPoolNote &row = rows_[update.pool];
        if (row.rowVersion != update.expectedRow) {
            return false;
        }
        row = { update.note, ++lastVersion_ };
        ++writes_;
        return true;
    }

    /** The store is restored from a copy that has all rows. */
    void restore() { ++era_; }

    std::uint64_t writes() const { return writes_; }

private:
    std::map<PoolName, StoredPoolNote> rows_;
    std::uint64_t lastVersion_ = 0;
    std::uint64_t era_ = 0;
    std::uint64_t writes_ = 0;
};

} // namespace GeraniumLever
