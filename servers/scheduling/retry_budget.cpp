#include "servers/scheduling/retry_budget.h"

#include <algorithm>

namespace GeraniumLever {

namespace {

/** Retries that each new request adds to the budget. */
constexpr double RetriesPerRequest = 0.1;

} // namespace

void RetryBudget::setBurst(std::uint32_t burst)
{
    // A larger burst is available at once, also when the budget is first set.
    balance_ = std::clamp(balance_ + burst - burst_, 0.0, static_cast<double>(burst));
    burst_ = burst;
}

void RetryBudget::recordRequest()
{
    balance_ = std::min(balance_ + RetriesPerRequest, burst_);
}

bool RetryBudget::trySpend()
{
    if (balance_ < 1.0) {
        return false;
    }
    balance_ -= 1.0;
    return true;
}

} // namespace GeraniumLever
