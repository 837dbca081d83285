/** Incoming side of the mesh: authenticates peers and receives their messages. */
#pragma once

#include <map>
#include <memory>

#include "drivers/mesh/event_forwarder.h"
#include "drivers/mesh/generated/node.capnp.h"
#include "drivers/mesh/mesh.h"

namespace GeraniumLever {

/** Bootstrap capability of a node. */
class NodeServer final : public Wire::Node::Server
{
public:
    NodeServer(const MeshSettings &settings, EventForwarder &eventForwarder);

    /** Invalidates the peer's previous session, so that delayed messages of an old connection cannot arrive after
     *  messages of the new one. */
    kj::Promise<void> authenticate(AuthenticateContext context) override;

private:
    const MeshSettings &settings_;
    EventForwarder &eventForwarder_;
    /** For each peer, a flag shared with its latest session; false once a newer session replaces that one. */
    std::map<NodeName, std::shared_ptr<bool>> sessionFlags_;
};

} // namespace GeraniumLever
