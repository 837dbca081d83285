/** Limits retries to a fraction of a shard's requests plus a burst. */
#pragma once

#include <cstdint>

namespace GeraniumLever {

class RetryBudget
{
public:
    /** Sets the number of retries accepted at once, for example for all attempts of an upstream that crashed. */
    void setBurst(std::uint32_t burst);

    /** Adds the fraction of a retry that one request earns. */
    void recordRequest();

    /** Takes one retry from the budget; false if it is exhausted. */
    bool trySpend();

private:
    double burst_ = 0.0;
    double balance_ = 0.0;
};

} // namespace GeraniumLever
