/** Outgoing connection to one peer. Used on the mesh thread only. */
#pragma once

#include <deque>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/timer.h>

#include "drivers/mesh/event_forwarder.h"
#include "drivers/mesh/generated/node.capnp.h"
#include "drivers/mesh/mesh.h"

namespace GeraniumLever {

/** Connects, authenticates and delivers messages. Reconnects with backoff when the connection fails. */
class PeerConnection
{
public:
    PeerConnection(MeshPeer peer,
                   const MeshSettings &settings,
                   kj::Network &network,
                   kj::Timer &timer,
                   EventForwarder &eventForwarder);

    const MeshPeer &peer() const { return peer_; }

    /** Queues the message while connected or connecting; otherwise reports PeerLost. */
    void send(PeerMessage message);

private:
    enum class Phase : std::uint8_t {
        Connecting,
        Connected,
        Backoff,
    };

    /** Reconnection loop; never resolves. */
    kj::Promise<void> run();
    /** Runs one connection until it ends. */
    kj::Promise<void> runConnection();
    kj::Promise<void> authenticate();
    /** Delivers queued messages, one batch at a time; ends only with an error. */
    kj::Promise<void> pump();
    kj::Promise<void> deliverBatch();
    /** Discards the connection and the queue, and reports PeerLost. */
    void closeConnection();
    kj::Duration nextBackoffDelay();

    MeshPeer peer_;
    const MeshSettings &settings_;
    kj::Network &network_;
    kj::Timer &timer_;
    EventForwarder &eventForwarder_;
    RandomSource random_;
    Phase phase_ = Phase::Connecting;
    Duration backoff_;
    std::deque<PeerMessage> queue_;
    kj::Own<kj::PromiseFulfiller<void>> queueFilled_;
    kj::Own<kj::PromiseFulfiller<void>> overflow_;
    kj::Own<kj::AsyncIoStream> stream_;
    kj::Own<capnp::TwoPartyClient> client_;
    Wire::Session::Client session_ { nullptr };
    kj::Promise<void> running_;
};

} // namespace GeraniumLever
