/** Limits the repeats of a pool's requests by all nodes together. */
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "core/core.h"

namespace GeraniumLever {

/** What all nodes together may send beyond the first attempt of each request. */
struct RepeatAllowance
{
    /** Repeats per request. */
    double ratio = 0.1;
    /** Repeats in a window beside that, shared by all nodes. */
    double slack = 0.0;
    Duration window = std::chrono::seconds(10);

    auto operator<=>(const RepeatAllowance &) const = default;
};

/** One node's part of the allowance. Each node pays from the requests that it took itself, and from its part of the
 * slack, divided among more nodes than are known, so that the sum holds whatever nodes are added, lost or cut off. */
class RelayBudget
{
public:
    explicit RelayBudget(RepeatAllowance allowance) : allowance_(allowance) { }

    /** Nodes among which the slack is divided, if it is known. */
    void setNodes(const std::optional<std::size_t> &nodes);

    void setAllowance(const RepeatAllowance &allowance) { allowance_ = allowance; }

    void noteRequest(TimePoint now);

    /** Pays for one repeat; false if none may be sent now. */
    bool spend(TimePoint now);

    /** Repeats that may be sent now. */
    double available(TimePoint now);

private:
    /** Nodes that are assumed as long as none are known. */
    static constexpr double UnknownNodes = 100.0;

    void forgetOld(TimePoint now);

    RepeatAllowance allowance_;
    double slackShare_ = 1.0 / UnknownNodes;
    std::deque<TimePoint> requests_;
    std::deque<TimePoint> repeats_;
};

} // namespace GeraniumLever
