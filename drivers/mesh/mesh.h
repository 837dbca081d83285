/** Public header of the mesh package: connections between nodes, over Cap'n Proto RPC on TCP. */
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "core/core.h"

namespace GeraniumLever {

struct MeshSettings
{
    NodeName node;
    Incarnation incarnation;
    /** "a.b.c.d:port". */
    std::string listenAddress;
    /** Shared by all nodes of one installation; peers with another key are rejected. */
    std::string sharedKey;
    /** Timeout for connecting, for authenticating and for the acknowledgement of a batch; detects frozen peers. */
    Duration peerTimeout = std::chrono::seconds(3);

    bool operator==(const MeshSettings &) const = default;
};

/** A peer to which a connection is maintained. */
struct MeshPeer
{
    NodeName node;
    std::string address;

    auto operator<=>(const MeshPeer &) const = default;
};

/** Size in bytes of one message in unpacked Cap'n Proto encoding, without RPC overhead. For capacity estimates. */
std::size_t encodedBytes(const PeerMessage &message);

/** Runs KJ's event loop on a dedicated thread. Data is passed between threads by value only. */
class Mesh
{
public:
    using Sink = std::function<void(Event)>;

    /** Posts PeerReceived and PeerLost events to the io_context, in order per peer. */
    Mesh(MeshSettings settings, boost::asio::io_context &context, Sink sink);

    /** Closes all connections and joins the thread. */
    ~Mesh();

    Mesh(const Mesh &) = delete;
    Mesh &operator=(const Mesh &) = delete;

    /** Starts listening. Returns an error if the address cannot be bound. */
    Result<Success> start();

    /** Replaces the peers to connect to. Lost connections are retried with exponential backoff of at most 1 s. */
    void setPeers(std::vector<MeshPeer> peers);

    /** Sends messages in order per peer, each at most once. Reports PeerLost if there is no connection. */
    void send(const NodeName &to, const PeerMessage &message);

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace GeraniumLever
