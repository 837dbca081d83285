/** Limits the number of peers that a node exchanges heartbeats with in a large fleet. */
#pragma once

#include <string>
#include <vector>

#include "core/core.h"

namespace GeraniumLever {

/** Up to this many nodes, including this one, all nodes exchange heartbeats with each other. */
constexpr std::size_t FullMeshNodes = 32;

/** Number of nodes of a data centre that exchange heartbeats with a given other data centre. */
constexpr std::size_t GatewaysPerDataCenter = 2;

/** Returns the first `count` nodes of `candidates` in rendezvous order for the link between the two data centres. Both
 *  sides compute the same order, and different links are spread over different nodes. */
std::vector<NodeName> gatewaysFor(const DataCenterName &one,
                                  const DataCenterName &other,
                                  const std::vector<NodeName> &candidates,
                                  std::size_t count);

} // namespace GeraniumLever
