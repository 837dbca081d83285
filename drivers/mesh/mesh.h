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
    /** Known to all nodes of one installation; a peer without it is refused. */
    std::string sharedKey;
    /** Longest wait for a connection, an authentication or the receipt of a batch; a frozen peer exceeds it. */
    Duration answerLimit = std::chrono::seconds(3);

    bool operator==(const MeshSettings &) const = default;
};

/** A peer to keep a connection to. */
struct MeshPeer
{
    NodeName node;
    std::string address;

    auto operator<=>(const MeshPeer &) const = default;
};

/** Bytes of the message alone in its unpacked form on a connection, for capacity estimates. */
std::size_t encodedBytes(const PeerMessage &message);

/** Runs KJ's event loop on a thread of its own; only values cross threads. */
class Mesh
{
public:
    using Sink = std::function<void(Event)>;

    /** Events (PeerReceived, PeerLost) are posted to the context, in order per peer. */
    Mesh(MeshSettings settings, boost::asio::io_context &context, Sink sink);

    /** Closes all connections and joins the thread. */
    ~Mesh();

    Mesh(const Mesh &) = delete;
    Mesh &operator=(const Mesh &) = delete;

    /** Starts listening; an error if the address cannot be bound. */
    Result<Success> start();

    /** Replaces the peers to connect to. Lost connections are made anew with growing pauses, at most 1 s apart. */
    void setPeers(std::vector<MeshPeer> peers);

    /** Sends in order per peer. Reports PeerLost if there is no connection; messages are never sent twice. */
    void send(const NodeName &to, const PeerMessage &message);

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace GeraniumLever
