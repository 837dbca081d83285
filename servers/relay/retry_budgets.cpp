#include "servers/relay/retry_budgets.h"

namespace GeraniumLever {

RelayRetryBudget &RetryBudgets::of(const PoolName &pool)
{
    const auto [budget, isNew] = budgets_.try_emplace(pool, allowance_);
    if (isNew) {
        budget->second.setNodes(nodes_);
    }
    return budget->second;
}

void RetryBudgets::setNodes(const std::optional<std::size_t> &nodes)
{
    nodes_ = nodes;
    for (auto &[pool, budget] : budgets_) {
        budget.setNodes(nodes);
    }
}

void RetryBudgets::setAllowance(const RetryAllowance &allowance)
{
    allowance_ = allowance;
    for (auto &[pool, budget] : budgets_) {
        budget.setAllowance(allowance);
    }
}

} // namespace GeraniumLever
