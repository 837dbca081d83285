/** Rendezvous hashing: all nodes with the same view compute the same owner without communicating. */
#pragma once

#include <string_view>
#include <vector>

#include "core/core.h"

namespace GeraniumLever {

/** Returns the candidates in descending order of their score for the subject; ties are ordered by name. */
std::vector<NodeName> rendezvousOrder(const std::vector<NodeName> &candidates, std::string_view subject);

} // namespace GeraniumLever
