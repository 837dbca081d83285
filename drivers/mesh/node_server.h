/** Incoming side of the mesh: authenticates peers and receives their messages. */
#pragma once

#include <map>
#include <memory>

#include "drivers/mesh/event_relay.h"
#include "drivers/mesh/generated/node.capnp.h"
#include "drivers/mesh/mesh.h"

namespace GeraniumLever {

/** Bootstrap capability of a node. */
class NodeServer final : public Wire::Node::Server
{
public:
    NodeServer(const MeshSettings &settings, EventRelay &relay);

    /** Ends the peer's earlier session, so that no late message of an old connection follows one of the new. */
    kj::Promise<void> authenticate(AuthenticateContext context) override;

private:
    const MeshSettings &settings_;
    EventRelay &relay_;
    /** Whether each peer's latest session is still the current one. */
    std::map<NodeName, std::shared_ptr<bool>> current_;
};

} // namespace GeraniumLever
