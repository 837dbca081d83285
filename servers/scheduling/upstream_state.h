/** Entity of a shard's upstream table: everything that decides whether an upstream may get a new attempt. */
#pragma once

#include "core/core.h"

namespace GeraniumLever {

struct UpstreamState
{
    UpstreamName name;
    /** Requests that it serves at once, as the catalog says. */
    std::uint32_t seats = 0;
    /** From the catalog. */
    bool leavingByCatalog = false;
    /** From a notice, a report or the VM list. */
    bool leavingByNotice = false;
    /** From its own last report. */
    bool ready = true;
    /** Taken out of service by orders. */
    bool held = false;

    /** True if it may get new attempts. */
    bool open() const { return !leavingByCatalog && !leavingByNotice && ready && !held; }

    bool operator==(const UpstreamState &) const = default;
};

} // namespace GeraniumLever
