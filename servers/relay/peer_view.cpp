#include "servers/relay/peer_view.h"

#include <algorithm>
#include <set>
#include <utility>

namespace GeraniumLever {

namespace {

/** Reports go to the nodes at these distances in the order of names, on both sides, so that each is answered. */
constexpr std::size_t Distances[] = { 1, 2, 4, 8 };

} // namespace

void PeerView::updateNodes(const std::vector<PeerNode> &nodes)
{
    nodes_.clear();
    for (const PeerNode &node : nodes) {
        nodes_.emplace(node.node, node);
    }
}

bool PeerView::take(const PeerReport &report, TimePoint now)
{
    if (nodes_.count(report.node) == 0 || report.node == self_) {
        return false;
    }
    Heard &heard = heard_[report.node];
    const bool older = heard.incarnation == report.incarnation && report.sequence <= heard.sequence;
    if (older) {
        return false;
    }
    heard = { report.incarnation, report.sequence, report.sentAt, now };
    return true;
}

void PeerView::expire(TimePoint now)
{
    std::erase_if(heard_, [now](const auto &entry) { return now - entry.second.heardAt > PeerTimeout; });
}

std::vector<PeerNode> PeerView::targets() const
{
    std::vector<PeerNode> targets;
    const auto self = nodes_.find(self_);
    if (self == nodes_.end()) {
        return targets;
    }
    const std::vector<std::pair<NodeName, PeerNode>> ring(nodes_.begin(), nodes_.end());
    const std::size_t own = static_cast<std::size_t>(std::distance(nodes_.begin(), self));
    std::set<std::size_t> chosen;
    for (const std::size_t distance : Distances) {
        const std::size_t step = distance % ring.size();
        chosen.insert((own + step) % ring.size());
        chosen.insert((own + ring.size() - step) % ring.size());
    }
    chosen.erase(own);
    for (const std::size_t index : chosen) {
        targets.push_back(ring[index].second);
    }
    return targets;
}

const PeerNode *PeerView::nodeAt(const std::string &address) const
{
    const auto found = std::find_if(
        nodes_.begin(), nodes_.end(), [&address](const auto &entry) { return entry.second.address == address; });
    return found == nodes_.end() ? nullptr : &found->second;
}

TimePoint PeerView::lastSentAt(const NodeName &node) const
{
    const auto found = heard_.find(node);
    return found == heard_.end() ? TimePoint() : found->second.sentAt;
}

std::optional<std::size_t> PeerView::nodeCount() const
{
    if (nodes_.empty()) {
        return std::nullopt;
    }
    return nodes_.size();
}

} // namespace GeraniumLever
