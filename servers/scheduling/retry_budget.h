/** Limits retries to a share of the requests of a shard. */
#pragma once

#include <cstdint>

namespace GeraniumLever {

class RetryBudget
{
public:
    /** The number of retries that may come at once, for example the seats of one upstream that crashed. */
    void setBurst(std::uint32_t burst);

    /** Earns a share of a retry. */
    void recordRequest();

    /** Pays for one retry; false if the budget is spent. */
    bool trySpend();

private:
    double burst_ = 0.0;
    double balance_ = 0.0;
};

} // namespace GeraniumLever
