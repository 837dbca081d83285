/** Accounts of the share of grants that every class gets even under pressure from higher tiers. */
#pragma once

#include <vector>

#include "core/core.h"

namespace GeraniumLever {

class GuaranteeLedger
{
public:
    /** Accounts one grant to a class while the given classes were waiting. */
    void noteGrant(const RequestClass &granted, const std::vector<const RequestClass *> &waiting);

    /** True if the class has earned a grant ahead of the higher tiers. */
    bool due(const ClassName &requestClass) const;

private:
    /** Earned grants, in thousandths. */
    Table<ClassName, std::uint32_t> credits_;
};

} // namespace GeraniumLever
