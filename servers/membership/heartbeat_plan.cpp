#include "servers/membership/heartbeat_plan.h"

#include <algorithm>

#include "servers/membership/rendezvous.h"

namespace GeraniumLever {

std::vector<NodeName> gatewaysFor(const DataCenterName &one,
                                  const DataCenterName &other,
                                  const std::vector<NodeName> &candidates,
                                  std::size_t count)
{
    const std::string subject = "gateway " + std::min(one, other).text() + " " + std::max(one, other).text();
    std::vector<NodeName> ordered = rendezvousOrder(candidates, subject);
    ordered.resize(std::min(ordered.size(), count));
    return ordered;
}

} // namespace GeraniumLever
