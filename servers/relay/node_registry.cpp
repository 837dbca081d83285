#include "servers/relay/node_registry.h"

#include <algorithm>

#include <xxhash.h>

namespace GeraniumLever {

bool NodeRegistry::update(const StoredNodes &stored, const StoreEras &eras, TimePoint asOf)
{
    if (eras.isOutdated(stored.state)) {
        return false;
    }
    std::vector<PeerNode> nodes = stored.nodes;
    if (eras.mayLackRows(asOf)) {
        for (const PeerNode &known : nodes_) {
            const bool isListed = std::any_of(
                nodes.begin(), nodes.end(), [&known](const PeerNode &listed) { return listed.node == known.node; });
            if (!isListed) {
                nodes.push_back(known);
            }
        }
    }
    const auto isOwn = [this](const PeerNode &node) { return node.node == self_ && node.incarnation == incarnation_; };
    if (asOf >= registeredAt_ && std::none_of(stored.nodes.begin(), stored.nodes.end(), isOwn)) {
        registeredEra_.reset();
    }
    isComplete_ = isComplete_ || !eras.mayLackRows(asOf);
    nodes_ = std::move(nodes);
    listAsOf_ = asOf;
    listEra_ = stored.state.era;
    return true;
}

bool NodeRegistry::needsList(const StoreEras &eras, TimePoint now) const
{
    const bool isOutdated = listAsOf_.has_value() && (listEra_ < eras.era() || eras.mayLackRows(*listAsOf_));
    return isOutdated && !eras.mayLackRows(now);
}

std::optional<std::size_t> NodeRegistry::sharingNodes() const
{
    if (!listAsOf_.has_value()) {
        return std::nullopt;
    }
    const std::size_t nodes = nodes_.size() + (find(self_) == nullptr ? 1 : 0);
    return isComplete_ ? nodes : std::max(nodes, MinSharingNodes);
}

std::size_t NodeRegistry::rank(const NodeName &node, std::uint64_t key) const
{
    const auto score = [key](const NodeName &name) { return XXH64(name.text().data(), name.text().size(), key); };
    const std::uint64_t own = score(node);
    return static_cast<std::size_t>(std::count_if(nodes_.begin(), nodes_.end(), [&](const PeerNode &other) {
        return other.node != node && score(other.node) > own;
    }));
}

const PeerNode *NodeRegistry::find(const NodeName &node) const
{
    const auto found =
        std::find_if(nodes_.begin(), nodes_.end(), [&node](const PeerNode &listed) { return listed.node == node; });
    return found == nodes_.end() ? nullptr : &*found;
}

void NodeRegistry::completeLastList(const StoreEras &eras)
{
    if (listAsOf_.has_value() && listEra_ == eras.era() && !eras.mayLackRows(*listAsOf_)) {
        isComplete_ = true;
    }
}

} // namespace GeraniumLever
