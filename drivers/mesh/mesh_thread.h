/** The part of the mesh that runs on KJ's event loop. */
#pragma once

#include <future>
#include <map>

#include <kj/async-io.h>

#include "drivers/mesh/event_forwarder.h"
#include "drivers/mesh/mesh.h"
#include "drivers/mesh/mesh_inbox.h"
#include "drivers/mesh/peer_connection.h"

namespace GeraniumLever {

/** Processes the commands of an inbox until MeshStop. Must be created, used and destroyed on one thread. */
class MeshThread
{
public:
    MeshThread(const MeshSettings &settings, MeshInbox &inbox, EventForwarder &eventForwarder);

    /** Binds the listener, reports the result through `started` and serves until stopped. */
    void run(std::promise<Result<Success>> &started);

private:
    Result<kj::Own<kj::ConnectionReceiver>> bind();
    void serve(kj::ConnectionReceiver &listener);
    kj::Promise<void> processCommands();

    /** Returns false for MeshStop. */
    bool processCommand(MeshCommand &&command);
    void setPeers(const std::vector<MeshPeer> &peers);
    void send(OutgoingMessage &&outgoing);

    const MeshSettings &settings_;
    MeshInbox &inbox_;
    EventForwarder &eventForwarder_;
    kj::AsyncIoContext io_;
    std::map<NodeName, kj::Own<PeerConnection>> connections_;
};

} // namespace GeraniumLever
