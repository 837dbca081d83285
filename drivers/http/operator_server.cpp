#include "drivers/http/operator_server.h"

#include <unordered_set>
#include <utility>

#include "drivers/http/listener.h"
#include "drivers/http/operator_connection.h"

namespace GeraniumLever {

namespace {

constexpr std::size_t MaxConnections = 256;

} // namespace

struct OperatorServer::State : public std::enable_shared_from_this<OperatorServer::State>
{
    State(OperatorServerSettings settings, Handler handler) : settings(std::move(settings)), handler(std::move(handler))
    {
    }

    void accepted(Socket socket)
    {
        if (connections.size() >= MaxConnections) {
            return;
        }
        const std::weak_ptr<State> weakState = weak_from_this();
        const std::shared_ptr<OperatorConnection> connection = std::make_shared<OperatorConnection>(
            std::move(socket), settings, handler, [weakState](const std::shared_ptr<OperatorConnection> &ended) {
                const std::shared_ptr<State> state = weakState.lock();
                if (state != nullptr) {
                    state->connections.erase(ended);
                }
            });
        connections.insert(connection);
        connection->start();
    }

    OperatorServerSettings settings;
    Handler handler;
    std::shared_ptr<Listener> listener;
    std::unordered_set<std::shared_ptr<OperatorConnection>> connections;
};

OperatorServer::OperatorServer(OperatorServerSettings settings, boost::asio::io_context &context, Handler handler)
    : state_(std::make_shared<State>(std::move(settings), std::move(handler)))
{
    const std::weak_ptr<State> weakState = state_;
    state_->listener = std::make_shared<Listener>(context, [weakState](Socket socket) {
        const std::shared_ptr<State> state = weakState.lock();
        if (state != nullptr) {
            state->accepted(std::move(socket));
        }
    });
}

OperatorServer::~OperatorServer()
{
    state_->listener->close();
    for (const std::shared_ptr<OperatorConnection> &connection : state_->connections) {
        connection->close();
    }
    state_->connections.clear();
}

Result<Success> OperatorServer::start()
{
    return state_->listener->start(state_->settings.listenAddress);
}

} // namespace GeraniumLever
