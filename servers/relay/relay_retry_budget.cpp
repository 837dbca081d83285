#include "servers/relay/relay_retry_budget.h"

#include <cmath>

namespace GeraniumLever {

namespace {

/** Share of the ratio that is used; the rest covers requests that are counted in a different window than their
 *  retry. */
constexpr double UsableRatioShare = 0.75;
/** Share of the window's retries that is kept for requests that have failed. */
constexpr double ReservedShare = 0.25;
/** The slack is divided among the known nodes plus a margin for nodes that are added later. */
constexpr double SpareNodes = 4.0;
constexpr double SpareShareOfNodes = 0.4;

} // namespace

void RelayRetryBudget::setNodes(const std::optional<std::size_t> &nodes)
{
    const double knownNodes = static_cast<double>(nodes.value_or(0));
    slackShare_ = nodes.has_value() ? 1.0 / (knownNodes * (1.0 + SpareShareOfNodes) + SpareNodes) : 1.0 / AssumedNodes;
}

void RelayRetryBudget::noteRequest(TimePoint now)
{
    dropExpired(now);
    requests_.push_back(now);
}

bool RelayRetryBudget::spend(TimePoint now)
{
    if (available(now) < 1.0) {
        return false;
    }
    retries_.push_back(now);
    return true;
}

bool RelayRetryBudget::canSpare(TimePoint now)
{
    return available(now) >= 1.0 + std::floor(ReservedShare * total());
}

double RelayRetryBudget::available(TimePoint now)
{
    dropExpired(now);
    return total() - static_cast<double>(retries_.size());
}

double RelayRetryBudget::total() const
{
    const double earned = UsableRatioShare * allowance_.ratio * static_cast<double>(requests_.size());
    return earned + allowance_.slack * slackShare_;
}

void RelayRetryBudget::dropExpired(TimePoint now)
{
    const TimePoint oldest = now - allowance_.window;
    while (!requests_.empty() && requests_.front() < oldest) {
        requests_.pop_front();
    }
    while (!retries_.empty() && retries_.front() < oldest) {
        retries_.pop_front();
    }
}

} // namespace GeraniumLever
