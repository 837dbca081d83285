/** Credit accounting for guarantees: the share of grants that a class gets even while higher tiers are waiting. */
#pragma once

#include <vector>

#include "core/core.h"

namespace GeraniumLever {

class GuaranteeCredits
{
public:
    /** Adds credit in proportion to its guarantee to every class that was waiting, then resets the credit of the class
     * that got the grant. */
    void recordGrant(const RequestClass &granted, const std::vector<const RequestClass *> &waiting);

    /** True if the class has enough credit for a grant ahead of higher tiers. */
    bool isDue(const ClassName &requestClass) const;

private:
    /** In thousandths of a grant. */
    Table<ClassName, std::uint32_t> credits_;
};

} // namespace GeraniumLever
