#include "drivers/http/caller_server.h"

#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "drivers/http/caller_connection.h"
#include "drivers/http/listener.h"

namespace GeraniumLever {

namespace {

/** Number of connections above the limit that may be open at one time in order to receive the refusal. */
constexpr std::size_t MaxRefusedConnections = 64;
constexpr Duration RefusalRetryAfter = std::chrono::seconds(1);

} // namespace

struct CallerServer::State : public CallerConnectionOwner, public std::enable_shared_from_this<CallerServer::State>
{
    State(CallerServerSettings settings, std::uint64_t origin, boost::asio::io_context &context, Sink sink)
        : serverSettings(std::move(settings)), origin(origin), context(context), sink(std::move(sink))
    {
    }

    const CallerServerSettings &settings() const override { return serverSettings; }

    RequestId nextRequest() override { return RequestId(origin, ++lastSequence); }

    bool draining() const override { return drainRequested; }

    void requestOpened(const RequestId &request, const std::shared_ptr<CallerConnection> &connection) override
    {
        open.emplace(request, connection);
    }

    void requestClosed(const RequestId &request) override { open.erase(request); }

    bool reserveInput(std::size_t bytes) override
    {
        if (partialBytes + bytes > serverSettings.maxPartialBytes) {
            return false;
        }
        partialBytes += bytes;
        return true;
    }

    void releaseInput(std::size_t bytes) override { partialBytes -= bytes; }

    void report(Event event) override { sink(std::move(event)); }

    void connectionClosed(const std::shared_ptr<CallerConnection> &connection) override
    {
        connections.erase(connection);
    }

    void accepted(Socket socket)
    {
        if (connections.size() >= serverSettings.maxConnections + MaxRefusedConnections) {
            return;
        }
        const bool refused = connections.size() >= serverSettings.maxConnections;
        const std::shared_ptr<CallerConnection> connection =
            std::make_shared<CallerConnection>(context, std::move(socket), *this);
        connections.insert(connection);
        if (refused) {
            connection->refuse(
                Error { ResultCode::TooManyConnections, "Too many connections are open.", RefusalRetryAfter });
            return;
        }
        connection->start();
    }

    template<typename Reply>
    void reply(const Reply &reply)
    {
        const std::unordered_map<RequestId, std::shared_ptr<CallerConnection>>::iterator found =
            open.find(reply.request);
        if (found == open.end()) {
            return;
        }
        const std::shared_ptr<CallerConnection> connection = found->second;
        connection->reply(reply);
    }

    CallerServerSettings serverSettings;
    std::uint64_t origin;
    boost::asio::io_context &context;
    Sink sink;
    std::shared_ptr<Listener> listener;
    std::unordered_set<std::shared_ptr<CallerConnection>> connections;
    std::unordered_map<RequestId, std::shared_ptr<CallerConnection>> open;
    std::uint64_t lastSequence = 0;
    std::size_t partialBytes = 0;
    bool drainRequested = false;
};

CallerServer::CallerServer(CallerServerSettings settings,
                           std::uint64_t origin,
                           boost::asio::io_context &context,
                           Sink sink)
    : state_(std::make_shared<State>(std::move(settings), origin, context, std::move(sink)))
{
    const std::weak_ptr<State> weakState = state_;
    state_->listener = std::make_shared<Listener>(context, [weakState](Socket socket) {
        const std::shared_ptr<State> state = weakState.lock();
        if (state != nullptr) {
            state->accepted(std::move(socket));
        }
    });
}

CallerServer::~CallerServer()
{
    state_->listener->close();
    for (const std::shared_ptr<CallerConnection> &connection : state_->connections) {
        connection->close();
    }
    state_->connections.clear();
    state_->open.clear();
}

Result<Success> CallerServer::start()
{
    return state_->listener->start(state_->serverSettings.listenAddress);
}

void CallerServer::drain()
{
    state_->drainRequested = true;
    state_->listener->drain();
}

void CallerServer::reply(const ReplyHead &head)
{
    state_->reply(head);
}

void CallerServer::reply(const ReplyData &data)
{
    state_->reply(data);
}

void CallerServer::reply(const ReplyEnd &end)
{
    state_->reply(end);
}

void CallerServer::reply(const ReplyError &error)
{
    state_->reply(error);
}

std::size_t CallerServer::openRequests() const
{
    return state_->open.size();
}

} // namespace GeraniumLever
