#include "drivers/relay/relay_server.h"

#include <algorithm>
#include <set>
#include <unordered_map>
#include <utility>

#include "drivers/relay/relay_connection.h"

namespace GeraniumLever {

struct RelayServer::State : RelayConnectionOwner
{
    using ConnectionPtr = std::shared_ptr<RelayConnection>;

    State(RelayServerSettings serverSettings,
          boost::asio::io_context &ioContext,
          const RelayHeaderCodec &relayCodec,
          RelayCallerObserver &callers)
        : settings(std::move(serverSettings)), context(ioContext), headerCodec(relayCodec), callerObserver(callers)
    {
    }

    const InputLimits &limits() const override { return inputLimits; }
    const RelayHeaderCodec &codec() const override { return headerCodec; }
    RelayCallerObserver &observer() override { return callerObserver; }
    bool isClosing() const override { return announcesClose; }
    RequestId nextRequest() override { return RequestId(settings.origin, ++lastRequest); }

    bool reserveInput(std::size_t bytes) override
    {
        if (reservedInputBytes + bytes > settings.maxInputBytes) {
            return false;
        }
        reservedInputBytes += bytes;
        return true;
    }

    void releaseInput(std::size_t bytes) override { reservedInputBytes -= bytes; }

    void requestOpened(const RequestId &request, const ConnectionPtr &connection) override
    {
        requests.emplace(request, connection);
    }

    void requestClosed(const RequestId &request) override { requests.erase(request); }
    void connectionClosed(const ConnectionPtr &connection) override { connections.erase(connection); }

    void accepted(Socket socket)
    {
        if (connections.size() >= settings.maxConnections) {
            callerObserver.inputRejected(Error { ResultCode::TooManyConnections, "too many connections are open", {} });
            return;
        }
        const ConnectionPtr connection = std::make_shared<RelayConnection>(std::move(socket), *this);
        connections.insert(connection);
        connection->start();
    }

    /** Returns nullptr if the request's caller has disconnected. */
    ConnectionPtr find(const RequestId &request) const
    {
        const auto found = requests.find(request);
        return found == requests.end() ? nullptr : found->second;
    }

    RelayServerSettings settings;
    boost::asio::io_context &context;
    const RelayHeaderCodec &headerCodec;
    RelayCallerObserver &callerObserver;
    InputLimits inputLimits;
    std::shared_ptr<Listener> listener;
    std::set<ConnectionPtr> connections;
    std::unordered_map<RequestId, ConnectionPtr> requests;
    std::uint64_t lastRequest = 0;
    std::size_t reservedInputBytes = 0;
    bool announcesClose = false;
};

RelayServer::RelayServer(RelayServerSettings settings,
                         boost::asio::io_context &context,
                         const RelayHeaderCodec &codec,
                         RelayCallerObserver &observer)
    : state_(std::make_shared<State>(std::move(settings), context, codec, observer))
{
}

RelayServer::~RelayServer()
{
    if (state_->listener != nullptr) {
        state_->listener->close();
    }
    for (const State::ConnectionPtr &connection : state_->connections) {
        connection->close();
    }
    state_->connections.clear();
    state_->requests.clear();
}

Result<Success> RelayServer::start()
{
    const std::weak_ptr<State> weakState = state_;
    state_->listener = std::make_shared<Listener>(state_->context, [weakState](Socket socket) {
        const std::shared_ptr<State> state = weakState.lock();
        if (state != nullptr) {
            state->accepted(std::move(socket));
        }
    });
    return state_->listener->start(state_->settings.listenAddress);
}

void RelayServer::setLimits(const InputLimits &limits)
{
    state_->inputLimits = limits;
}

void RelayServer::begin(const RequestId &request, const RelayResponse &response)
{
    const State::ConnectionPtr connection = state_->find(request);
    if (connection != nullptr) {
        connection->begin(response);
    }
}

void RelayServer::append(const RequestId &request, std::string_view bytes)
{
    const State::ConnectionPtr connection = state_->find(request);
    if (connection != nullptr) {
        connection->append(bytes);
    }
}

void RelayServer::finish(const RequestId &request)
{
    const State::ConnectionPtr connection = state_->find(request);
    if (connection != nullptr) {
        connection->finish();
    }
}

void RelayServer::refuse(const RequestId &request, const Error &error, Outcome outcome)
{
    const State::ConnectionPtr connection = state_->find(request);
    if (connection != nullptr) {
        connection->refuse(error, outcome);
    }
}

void RelayServer::abortResponse(const RequestId &request)
{
    const State::ConnectionPtr connection = state_->find(request);
    if (connection == nullptr) {
        return;
    }
    state_->requests.erase(request);
    connection->close();
    state_->connections.erase(connection);
}

void RelayServer::announceClose()
{
    state_->announcesClose = true;
}

void RelayServer::drain()
{
    state_->listener->drain();
    const std::set<State::ConnectionPtr> connections = state_->connections;
    for (const State::ConnectionPtr &connection : connections) {
        connection->closeIfIdle();
    }
}

bool RelayServer::isDrained() const
{
    return std::all_of(state_->connections.begin(),
                       state_->connections.end(),
                       [](const State::ConnectionPtr &connection) { return connection->isDrained(); });
}

std::size_t RelayServer::countUnreportedInput() const
{
    return static_cast<std::size_t>(std::count_if(
        state_->connections.begin(), state_->connections.end(), [](const State::ConnectionPtr &connection) {
            return connection->hasUnreportedInput();
        }));
}

void RelayServer::tick()
{
    const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
    const std::set<State::ConnectionPtr> connections = state_->connections;
    for (const State::ConnectionPtr &connection : connections) {
        connection->checkTimeouts(now);
    }
}

} // namespace GeraniumLever
