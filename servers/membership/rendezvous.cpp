#include "servers/membership/rendezvous.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace GeraniumLever {

std::vector<NodeName> rendezvousOrder(const std::vector<NodeName> &candidates, std::string_view subject)
{
    const std::uint64_t subjectHash = XXH64(subject.data(), subject.size(), 0);
    using Scored = std::pair<std::uint64_t, const NodeName *>;
    std::vector<Scored> scored;
    scored.reserve(candidates.size());
    for (const NodeName &candidate : candidates) {
        scored.emplace_back(XXH64(candidate.text().data(), candidate.text().size(), subjectHash), &candidate);
    }
    std::sort(scored.begin(), scored.end(), [](const Scored &left, const Scored &right) {
        return left.first != right.first ? left.first > right.first : *left.second < *right.second;
    });
    std::vector<NodeName> ordered;
    ordered.reserve(scored.size());
    for (const Scored &entry : scored) {
        ordered.push_back(*entry.second);
    }
    return ordered;
}

} // namespace GeraniumLever
