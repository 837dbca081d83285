#include "servers/relay/peer_view.h"

#include <algorithm>

#include <xxhash.h>

namespace GeraniumLever {

namespace {

/** Up to this many nodes all exchange reports; beyond it those of one data centre, so that the work of a node does not
 *  grow with the whole fleet. */
constexpr std::size_t MostNodesInOneGroup = 24;

} // namespace

std::uint32_t peerHashOf(const UpstreamName &upstream)
{
    return XXH32(upstream.text().data(), upstream.text().size(), 0);
}

void PeerView::learnNodes(const std::vector<PeerNode> &nodes)
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
    add(heard.counts, -1);
    heard = { report.incarnation, report.sequence, report.sentAt, now, report.counts };
    add(heard.counts, 1);
    return true;
}

void PeerView::expire(TimePoint now)
{
    std::erase_if(heard_, [this, now](const auto &entry) {
        if (now - entry.second.heardAt <= PeerTimeout) {
            return false;
        }
        add(entry.second.counts, -1);
        return true;
    });
}

std::vector<PeerNode> PeerView::targets() const
{
    const bool oneGroup = nodes_.size() <= MostNodesInOneGroup;
    std::vector<PeerNode> targets;
    for (const auto &[name, node] : nodes_) {
        if (name != self_ && (oneGroup || node.dataCenter == dataCenter_)) {
            targets.push_back(node);
        }
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

std::optional<double> PeerView::requestsAt(const UpstreamName &upstream) const
{
    if (heard_.empty()) {
        return std::nullopt;
    }
    const auto found = sums_.find(peerHashOf(upstream));
    if (found == sums_.end()) {
        return 0.0;
    }
    const double others = static_cast<double>(std::max<std::size_t>(nodes_.size(), 1) - 1);
    const double scale = std::max(1.0, others / static_cast<double>(heard_.size()));
    return static_cast<double>(found->second) * scale;
}

std::optional<std::size_t> PeerView::nodeCount() const
{
    if (nodes_.empty()) {
        return std::nullopt;
    }
    return std::max(nodes_.size(), heard_.size() + 1);
}

void PeerView::add(const std::vector<UpstreamCount> &counts, int sign)
{
    for (const UpstreamCount &count : counts) {
        std::int64_t &sum = sums_[count.upstream];
        sum += sign * static_cast<std::int64_t>(count.requests);
        if (sum == 0) {
            sums_.erase(count.upstream);
        }
    }
}

} // namespace GeraniumLever
