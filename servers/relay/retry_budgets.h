/** This node's retry budgets, one per pool. */
#pragma once

#include <map>

#include "servers/relay/relay_retry_budget.h"

namespace GeraniumLever {

class RetryBudgets
{
public:
    explicit RetryBudgets(RetryAllowance allowance) : allowance_(allowance) { }

    /** The budget of a pool; created on first use. */
    RelayRetryBudget &of(const PoolName &pool);

    /** Sets the number of nodes that share the budgets; absent if unknown. */
    void setNodes(const std::optional<std::size_t> &nodes);

    void setAllowance(const RetryAllowance &allowance);

private:
    RetryAllowance allowance_;
    std::optional<std::size_t> nodes_;
    std::map<PoolName, RelayRetryBudget> budgets_;
};

} // namespace GeraniumLever
