/** Rendezvous hashing: every node with the same view computes the same owner without asking anybody. */
#pragma once

#include <string_view>
#include <vector>

#include "core/core.h"

namespace GeraniumLever {

/** The candidates by falling score for the subject; ties by name. */
std::vector<NodeName> rendezvousOrder(const std::vector<NodeName> &candidates, std::string_view subject);

} // namespace GeraniumLever
