/** Limits the retries of a pool's requests across all nodes. */
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "core/core.h"

namespace GeraniumLever {

/** What all nodes together may send beyond the first attempt of each request. */
struct RetryAllowance
{
    /** Retries per request. */
    double ratio = 0.1;
    /** Retries per window in addition to the ratio, shared by all nodes. */
    double slack = 0.0;
    Duration window = std::chrono::seconds(10);

    auto operator<=>(const RetryAllowance &) const = default;
};

/** One node's share of the allowance: the ratio of the requests that it received itself, and its share of the slack.
 *  The slack is divided among more nodes than are known, so the total stays within the allowance when nodes are added,
 *  lost or partitioned off. */
class RelayRetryBudget
{
public:
    explicit RelayRetryBudget(RetryAllowance allowance) : allowance_(allowance) { }

    /** Sets the number of nodes among which the slack is divided; absent if unknown. */
    void setNodes(const std::optional<std::size_t> &nodes);

    void setAllowance(const RetryAllowance &allowance) { allowance_ = allowance; }

    void noteRequest(TimePoint now);

    /** Charges one retry to the budget; returns false if none may be sent now. */
    bool spend(TimePoint now);

    /** True if a retry would leave enough for requests that have failed, which cannot wait. */
    bool canSpare(TimePoint now);

    /** Retries that may be sent now. */
    double available(TimePoint now);

private:
    /** Number of nodes assumed while the real number is unknown. */
    static constexpr double AssumedNodes = 100.0;

    void dropExpired(TimePoint now);
    /** Retries that the current window allows altogether. */
    double total() const;

    RetryAllowance allowance_;
    double slackShare_ = 1.0 / AssumedNodes;
    std::deque<TimePoint> requests_;
    std::deque<TimePoint> retries_;
};

} // namespace GeraniumLever
