#include "servers/relay/peer_view.h"

#include <algorithm>
#include <set>
#include <utility>

namespace GeraniumLever {

namespace {

/** Reports go to the nodes at these distances in name order, in both directions, so that each recipient also reports
 *  back. */
constexpr std::size_t ReportDistances[] = { 1, 2, 4, 8 };

} // namespace

void PeerView::updateNodes(const std::vector<PeerNode> &nodes)
{
    nodes_.clear();
    for (const PeerNode &node : nodes) {
        nodes_.emplace(node.node, node);
    }
}

bool PeerView::receive(const PeerReport &report, TimePoint now)
{
    if (nodes_.count(report.node) == 0 || report.node == self_) {
        return false;
    }
    LastReport &last = lastReports_[report.node];
    const bool outdated = last.incarnation == report.incarnation && report.sequence <= last.sequence;
    if (outdated) {
        return false;
    }
    last = { report.incarnation, report.sequence, report.sentAt, now };
    return true;
}

bool PeerView::isNew(const PeerReport &report) const
{
    const auto found = lastReports_.find(report.node);
    return found == lastReports_.end() || found->second.incarnation != report.incarnation;
}

void PeerView::expire(TimePoint now)
{
    std::erase_if(lastReports_, [now](const auto &entry) { return now - entry.second.receivedAt > PeerTimeout; });
}

std::vector<PeerNode> PeerView::targets() const
{
    std::vector<PeerNode> targets;
    if (nodes_.empty()) {
        return targets;
    }
    // The list may be older than this node's own entry.
    std::map<NodeName, PeerNode> nodes = nodes_;
    const auto self = nodes.try_emplace(self_).first;
    const std::vector<std::pair<NodeName, PeerNode>> ring(nodes.begin(), nodes.end());
    const std::size_t own = static_cast<std::size_t>(std::distance(nodes.begin(), self));
    std::set<std::size_t> chosen;
    for (const std::size_t distance : ReportDistances) {
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
    const auto found = lastReports_.find(node);
    return found == lastReports_.end() ? TimePoint() : found->second.sentAt;
}

std::optional<std::size_t> PeerView::nodeCount() const
{
    if (nodes_.empty()) {
        return std::nullopt;
    }
    return nodes_.size();
}

} // namespace GeraniumLever
