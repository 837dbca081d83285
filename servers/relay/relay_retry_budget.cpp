#include "servers/relay/relay_retry_budget.h"

namespace GeraniumLever {

namespace {

/** Part of the ratio that is used; the rest covers requests that are counted in another window than their repeat. */
constexpr double RatioUsed = 0.75;
/** The slack is divided among the known nodes and so many more, for those that are added. */
constexpr double SpareNodes = 4.0;
constexpr double SpareShareOfNodes = 0.4;

} // namespace

void RelayBudget::setNodes(const std::optional<std::size_t> &nodes)
{
    const double known = static_cast<double>(nodes.value_or(0));
    slackShare_ = nodes.has_value() ? 1.0 / (known * (1.0 + SpareShareOfNodes) + SpareNodes) : 1.0 / UnknownNodes;
}

void RelayBudget::noteRequest(TimePoint now)
{
    forgetOld(now);
    requests_.push_back(now);
}

bool RelayBudget::spend(TimePoint now)
{
    if (available(now) < 1.0) {
        return false;
    }
    repeats_.push_back(now);
    return true;
}

double RelayBudget::available(TimePoint now)
{
    forgetOld(now);
    const double earned = RatioUsed * allowance_.ratio * static_cast<double>(requests_.size());
    return earned + allowance_.slack * slackShare_ - static_cast<double>(repeats_.size());
}

void RelayBudget::forgetOld(TimePoint now)
{
    const TimePoint oldest = now - allowance_.window;
    while (!requests_.empty() && requests_.front() < oldest) {
        requests_.pop_front();
    }
    while (!repeats_.empty() && repeats_.front() < oldest) {
        repeats_.pop_front();
    }
}

} // namespace GeraniumLever
