#include "drivers/mesh/mesh_thread.h"

#include <algorithm>
#include <utility>

#include <capnp/rpc-twoparty.h>
#include <glog/logging.h>
#include <kj/exception.h>

#include "drivers/mesh/node_server.h"

namespace GeraniumLever {

MeshThread::MeshThread(const MeshSettings &settings, MeshInbox &inbox, EventForwarder &eventForwarder)
    : settings_(settings), inbox_(inbox), eventForwarder_(eventForwarder), io_(kj::setupAsyncIo())
{
}

void MeshThread::run(std::promise<Result<Success>> &started)
{
    Result<kj::Own<kj::ConnectionReceiver>> listener = bind();
    if (!succeeded(listener)) {
        started.set_value(errorOf(listener));
        return;
    }
    started.set_value(Success());
    serve(*std::get<kj::Own<kj::ConnectionReceiver>>(listener));
}

Result<kj::Own<kj::ConnectionReceiver>> MeshThread::bind()
{
    kj::Own<kj::ConnectionReceiver> listener;
    kj::Maybe<kj::Exception> failure = kj::runCatchingExceptions([&]() {
        listener = io_.provider->getNetwork().parseAddress(settings_.listenAddress).wait(io_.waitScope)->listen();
    });
    KJ_IF_MAYBE (exception, failure) {
        return Error { ResultCode::SettingsInvalid,
                       "cannot listen on " + settings_.listenAddress + ": " + exception->getDescription().cStr(),
                       std::nullopt };
    }
    return listener;
}

void MeshThread::serve(kj::ConnectionReceiver &listener)
{
    capnp::TwoPartyServer server(kj::heap<NodeServer>(settings_, eventForwarder_));
    kj::Promise<void> listening = server.listen(listener).eagerlyEvaluate([this](kj::Exception &&exception) {
        LOG(ERROR) << "mesh: stopped listening on " << settings_.listenAddress << ": "
                   << exception.getDescription().cStr();
    });
    processCommands().wait(io_.waitScope);
    connections_.clear();
}

kj::Promise<void> MeshThread::processCommands()
{
    return inbox_.whenFilled().then([this]() -> kj::Promise<void> {
        for (MeshCommand &command : inbox_.takeAll()) {
            if (!processCommand(std::move(command))) {
                return kj::READY_NOW;
            }
        }
        return processCommands();
    });
}

bool MeshThread::processCommand(MeshCommand &&command)
{
    if (std::holds_alternative<MeshStop>(command)) {
        return false;
    }
    if (const std::vector<MeshPeer> *peers = std::get_if<std::vector<MeshPeer>>(&command)) {
        setPeers(*peers);
        return true;
    }
    send(std::move(std::get<OutgoingMessage>(command)));
    return true;
}

void MeshThread::setPeers(const std::vector<MeshPeer> &peers)
{
    std::map<NodeName, kj::Own<PeerConnection>> connections;
    for (const MeshPeer &peer : peers) {
        if (peer.node == settings_.node) {
            continue;
        }
        std::map<NodeName, kj::Own<PeerConnection>>::iterator known = connections_.find(peer.node);
        if (known != connections_.end() && known->second->peer() == peer) {
            connections[peer.node] = kj::mv(known->second);
            connections_.erase(known);
            continue;
        }
        connections[peer.node] = kj::heap<PeerConnection>(
            peer, settings_, io_.provider->getNetwork(), io_.provider->getTimer(), eventForwarder_);
    }
    connections_ = std::move(connections);
}

void MeshThread::send(OutgoingMessage &&outgoing)
{
    if (outgoing.to == settings_.node) {
        eventForwarder_.post(PeerReceived { outgoing.to, std::move(outgoing.message) });
        return;
    }
    std::map<NodeName, kj::Own<PeerConnection>>::iterator connection = connections_.find(outgoing.to);
    if (connection == connections_.end()) {
        eventForwarder_.post(PeerLost { outgoing.to });
        return;
    }
    connection->second->send(std::move(outgoing.message));
}

} // namespace GeraniumLever
