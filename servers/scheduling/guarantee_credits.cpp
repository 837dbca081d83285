#include "servers/scheduling/guarantee_credits.h"

#include <algorithm>

namespace GeraniumLever {

namespace {

/** Credit that entitles to one grant. Credit is capped at this value, so that no class can save up credit and take many
 * seats in a burst. */
constexpr std::uint32_t CreditPerGrant = 1000;

} // namespace

void GuaranteeCredits::recordGrant(const RequestClass &granted, const std::vector<const RequestClass *> &waiting)
{
    for (const RequestClass *requestClass : waiting) {
        const std::uint32_t *known = credits_.find(requestClass->name);
        const std::uint32_t credit = (known == nullptr ? 0 : *known) + requestClass->guaranteedPerMille;
        credits_.put(requestClass->name, std::min(credit, CreditPerGrant));
    }
    credits_.put(granted.name, 0);
}

bool GuaranteeCredits::isDue(const ClassName &requestClass) const
{
    const std::uint32_t *credit = credits_.find(requestClass);
    return credit != nullptr && *credit >= CreditPerGrant;
}

} // namespace GeraniumLever
