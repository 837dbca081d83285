/** Command queue from the owner's thread to the mesh thread. */
#pragma once

#include <mutex>
#include <variant>
#include <vector>

#include <kj/async.h>

#include "core/core.h"
#include "drivers/mesh/mesh.h"

namespace GeraniumLever {

/** A message to send to a peer. */
struct OutgoingMessage
{
    NodeName to;
    PeerMessage message;
};

/** Stops the mesh thread. */
struct MeshStop
{
};

using MeshCommand = std::variant<MeshStop, std::vector<MeshPeer>, OutgoingMessage>;

class MeshInbox
{
public:
    /** May be called from any thread. Wakes the mesh thread once for all commands that it has not taken yet. */
    void push(MeshCommand command);

    /** Resolves when the queue is not empty. Only for the mesh thread, with at most one call pending. */
    kj::Promise<void> whenFilled();

    /** Removes and returns all commands in FIFO order. */
    std::vector<MeshCommand> takeAll();

private:
    std::mutex mutex_;
    std::vector<MeshCommand> pendingCommands_;
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> waiter_;
};

} // namespace GeraniumLever
