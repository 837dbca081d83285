/** Which peers a node exchanges heartbeats with, so that their number stays bounded in a large fleet. */
#pragma once

#include <string>
#include <vector>

#include "core/core.h"

namespace GeraniumLever {

/** Up to this many nodes, this one included, everybody exchanges heartbeats with everybody. */
constexpr std::size_t FullMeshNodes = 32;

/** Nodes of a data centre that exchange heartbeats with one other data centre. */
constexpr std::size_t GatewaysPerDataCenter = 2;

/** The first nodes of `candidates` in rendezvous order for the link between the two data centres. Both sides compute
 *  the same order, and different links spread over different nodes. */
std::vector<NodeName> gatewaysFor(const DataCenterName &one,
                                  const DataCenterName &other,
                                  const std::vector<NodeName> &candidates,
                                  std::size_t count);

} // namespace GeraniumLever
