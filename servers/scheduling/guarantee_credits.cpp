#include "servers/scheduling/guarantee_credits.h"

#include <algorithm>

namespace GeraniumLever {

namespace {

/** Credit of one grant; more than one is not saved up, so that no class can claim seats in a burst. */
constexpr std::uint32_t OneGrant = 1000;

} // namespace

void GuaranteeLedger::noteGrant(const RequestClass &granted, const std::vector<const RequestClass *> &waiting)
{
    for (const RequestClass *requestClass : waiting) {
        const std::uint32_t *known = credits_.find(requestClass->name);
        const std::uint32_t credit = (known == nullptr ? 0 : *known) + requestClass->guaranteedPerMille;
        credits_.put(requestClass->name, std::min(credit, OneGrant));
    }
    credits_.put(granted.name, 0);
}

bool GuaranteeLedger::due(const ClassName &requestClass) const
{
    const std::uint32_t *credit = credits_.find(requestClass);
    return credit != nullptr && *credit >= OneGrant;
}

} // namespace GeraniumLever
