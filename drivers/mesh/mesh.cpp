#include "drivers/mesh/mesh.h"

#include <future>
#include <thread>
#include <utility>

#include "drivers/mesh/event_forwarder.h"
#include "drivers/mesh/mesh_inbox.h"
#include "drivers/mesh/mesh_thread.h"

namespace GeraniumLever {

struct Mesh::State
{
    State(MeshSettings meshSettings, boost::asio::io_context &context, Sink sink)
        : settings(std::move(meshSettings)), eventForwarder(context, std::move(sink))
    {
    }

    MeshSettings settings;
    EventForwarder eventForwarder;
    MeshInbox inbox;
    std::thread thread;
};

Mesh::Mesh(MeshSettings settings, boost::asio::io_context &context, Sink sink)
    : state_(std::make_unique<State>(std::move(settings), context, std::move(sink)))
{
}

Mesh::~Mesh()
{
    state_->eventForwarder.close();
    if (state_->thread.joinable()) {
        state_->inbox.push(MeshStop {});
        state_->thread.join();
    }
}

Result<Success> Mesh::start()
{
    std::promise<Result<Success>> started;
    std::future<Result<Success>> result = started.get_future();
    state_->thread = std::thread([state = state_.get(), started = std::move(started)]() mutable {
        MeshThread thread(state->settings, state->inbox, state->eventForwarder);
        thread.run(started);
    });
    return result.get();
}

void Mesh::setPeers(std::vector<MeshPeer> peers)
{
    state_->inbox.push(std::move(peers));
}

void Mesh::send(const NodeName &to, const PeerMessage &message)
{
    state_->inbox.push(OutgoingMessage { to, message });
}

} // namespace GeraniumLever
