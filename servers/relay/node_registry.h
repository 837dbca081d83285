/** The relays' registration in the store. */
#pragma once

#include <optional>
#include <vector>

#include "servers/relay/peer_view.h"

namespace GeraniumLever {

/** Knows the registered relays, and whether this node's own entry must be written. A store that was restored from a
 * copy lacks the latest entries until their nodes write them again, so lists that it returns until then only add nodes.
 * A call by which an earlier process of this node wrote or removed the entry may be carried out late, so each list is
 * checked for the entry of this process. */
class NodeRegistry
{
public:
    /** incarnation: unique per start of the node. */
    NodeRegistry(NodeName self, std::uint64_t incarnation) : self_(std::move(self)), incarnation_(incarnation) { }

    /** Applies a list that was read at some time not before asOf; returns false if it is of an earlier era. eras: must
     *  know of the list's state. */
    bool update(const StoredNodes &stored, const StoreEras &eras, TimePoint asOf);

    const std::vector<PeerNode> &nodes() const { return nodes_; }

    /** True if the last list may have lacked nodes that a list read now would contain. */
    bool needsList(const StoreEras &eras, TimePoint now) const;

    /** Number of nodes, with this one, among which to divide what all nodes share; at least MinSharingNodes if no list
     * is known to have been complete, so that nothing is granted twice. Absent before the first list. */
    std::optional<std::size_t> sharingNodes() const;

    /** Takes the last list for complete if it is known by now that the store did not lack nodes then. */
    void completeLastList(const StoreEras &eras);

    /** Position of a node in the order in which all nodes are chosen for a key; the nodes agree on it as far as they
     * know the same nodes. */
    std::size_t rank(const NodeName &node, std::uint64_t key) const;

    /** Records that the store confirmed this node's entry. */
    void noteRegistered(const StoreState &state, TimePoint now)
    {
        registeredEra_ = state.era;
        registeredAt_ = now;
    }

    /** True if the store does not have the entry of this process, or has lost it. */
    bool needsRegistration(const StoreEras &eras) const { return registeredEra_ < eras.era() || !registeredEra_; }

    static constexpr std::size_t MinSharingNodes = 100;

private:
    const PeerNode *find(const NodeName &node) const;

    NodeName self_;
    std::uint64_t incarnation_ = 0;
    std::vector<PeerNode> nodes_;
    /** When the read that returned the newest list was sent; absent before the first list. */
    std::optional<TimePoint> listAsOf_;
    std::uint64_t listEra_ = 0;
    /** True if a complete list is contained in the known nodes. */
    bool isComplete_ = false;
    std::optional<std::uint64_t> registeredEra_;
    /** When the store confirmed the entry. */
    TimePoint registeredAt_;
};

} // namespace GeraniumLever
