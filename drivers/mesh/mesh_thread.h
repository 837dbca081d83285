/** The part of the mesh that lives on KJ's event loop. */
#pragma once

#include <future>
#include <map>

#include <kj/async-io.h>

#include "drivers/mesh/event_relay.h"
#include "drivers/mesh/mesh.h"
#include "drivers/mesh/mesh_inbox.h"
#include "drivers/mesh/peer_connection.h"

namespace GeraniumLever {

/** Carries out the orders of an inbox until it finds MeshStop. Made, used and destroyed on one thread. */
class MeshThread
{
public:
    MeshThread(const MeshSettings &settings, MeshInbox &inbox, EventRelay &relay);

    /** Reports whether the listener could be bound, and serves until stopped. */
    void run(std::promise<Result<Success>> &started);

private:
    Result<kj::Own<kj::ConnectionReceiver>> bind();
    void serve(kj::ConnectionReceiver &listener);
    kj::Promise<void> carryOutOrders();

    /** False for MeshStop. */
    bool carryOut(MeshOrder &&order);
    void setPeers(const std::vector<MeshPeer> &peers);
    void send(OutgoingMessage &&outgoing);

    const MeshSettings &settings_;
    MeshInbox &inbox_;
    EventRelay &relay_;
    kj::AsyncIoContext io_;
    std::map<NodeName, kj::Own<PeerConnection>> connections_;
};

} // namespace GeraniumLever
