/** Queue of orders from the owner's thread to the mesh's thread. */
#pragma once

#include <mutex>
#include <variant>
#include <vector>

#include <kj/async.h>

#include "core/core.h"
#include "drivers/mesh/mesh.h"

namespace GeraniumLever {

/** A message on its way to a peer. */
struct OutgoingMessage
{
    NodeName to;
    PeerMessage message;
};

/** Ends the mesh's thread. */
struct MeshStop
{
};

using MeshOrder = std::variant<MeshStop, std::vector<MeshPeer>, OutgoingMessage>;

class MeshInbox
{
public:
    /** To be called from any thread. Wakes the mesh's thread once for all orders that it has not taken yet. */
    void push(MeshOrder order);

    /** Resolves when there are orders. Only for the mesh's thread, which has no other wait pending. */
    kj::Promise<void> whenFilled();

    /** Takes all orders in the order of their arrival. */
    std::vector<MeshOrder> takeAll();

private:
    std::mutex mutex_;
    std::vector<MeshOrder> orders_;
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> waiter_;
};

} // namespace GeraniumLever
