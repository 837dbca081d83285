/** Outgoing connection to one peer. Lives on the mesh's thread. */
#pragma once

#include <deque>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/timer.h>

#include "drivers/mesh/event_relay.h"
#include "drivers/mesh/generated/node.capnp.h"
#include "drivers/mesh/mesh.h"

namespace GeraniumLever {

/** Connects, authenticates and delivers, and starts again after a pause when the connection breaks. */
class PeerConnection
{
public:
    PeerConnection(
        MeshPeer peer, const MeshSettings &settings, kj::Network &network, kj::Timer &timer, EventRelay &relay);

    const MeshPeer &peer() const { return peer_; }

    /** Queues the message, or reports PeerLost if there is neither a connection nor an attempt to make one. */
    void send(PeerMessage message);

private:
    enum class Phase : std::uint8_t {
        Connecting,
        Connected,
        Pausing,
    };

    /** Connects again and again; never resolves. */
    kj::Promise<void> run();
    /** One connection from its beginning to its end. */
    kj::Promise<void> serve();
    kj::Promise<void> authenticate();
    /** Delivers what is queued, one batch at a time; ends only by an error. */
    kj::Promise<void> pump();
    kj::Promise<void> deliverBatch();
    void drop();
    kj::Duration nextPause();

    MeshPeer peer_;
    const MeshSettings &settings_;
    kj::Network &network_;
    kj::Timer &timer_;
    EventRelay &relay_;
    RandomSource random_;
    Phase phase_ = Phase::Connecting;
    Duration pause_;
    std::deque<PeerMessage> queue_;
    kj::Own<kj::PromiseFulfiller<void>> queueFilled_;
    kj::Own<kj::PromiseFulfiller<void>> overflow_;
    kj::Own<kj::AsyncIoStream> stream_;
    kj::Own<capnp::TwoPartyClient> client_;
    Wire::Session::Client session_ { nullptr };
    kj::Promise<void> running_;
};

} // namespace GeraniumLever
