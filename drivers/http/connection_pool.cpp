#include "drivers/http/connection_pool.h"

#include <algorithm>
#include <utility>

namespace GeraniumLever {

namespace {

/** Time for which a lost connection is remembered. */
constexpr std::chrono::seconds LossLifetime(60);

} // namespace

ConnectionPool::ConnectionPool(std::size_t maxIdlePerAddress) : maxIdlePerAddress_(maxIdlePerAddress) { }

std::shared_ptr<ClientConnection> ConnectionPool::take(const std::string &address)
{
    const std::map<std::string, std::deque<IdleConnection>>::iterator found = idle_.find(address);
    if (found == idle_.end()) {
        return nullptr;
    }
    const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
    std::shared_ptr<ClientConnection> usable;
    while (usable == nullptr && !found->second.empty()) {
        const IdleConnection candidate = std::move(found->second.back());
        found->second.pop_back();
        boost::system::error_code ignored;
        candidate.connection->socket().cancel(ignored);
        if (now - candidate.idleSince <= candidate.connection->idleLimit() && candidate.connection->isReusable()) {
            usable = candidate.connection;
        } else {
            if (candidate.connection->isClosedByPeer()) {
                noteLoss(address);
            }
            candidate.connection->close();
        }
    }
    if (found->second.empty()) {
        idle_.erase(found);
    }
    return usable;
}

void ConnectionPool::put(std::shared_ptr<ClientConnection> connection)
{
    if (maxIdlePerAddress_ == 0 || !connection->isReusable()) {
        connection->close();
        return;
    }
    std::deque<IdleConnection> &connections = idle_[connection->address()];
    if (connections.size() >= maxIdlePerAddress_) {
        connections.front().connection->close();
        connections.pop_front();
    }
    watch(connection);
    connections.push_back(IdleConnection { std::move(connection), std::chrono::steady_clock::now() });
}

void ConnectionPool::clear()
{
    for (const auto &[address, connections] : idle_) {
        for (const IdleConnection &idle : connections) {
            idle.connection->close();
        }
    }
    idle_.clear();
}

std::size_t ConnectionPool::idleConnections(const std::string &address) const
{
    const std::map<std::string, std::deque<IdleConnection>>::const_iterator found = idle_.find(address);
    return found == idle_.end() ? 0 : found->second.size();
}

void ConnectionPool::noteLoss(const std::string &address)
{
    const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
    std::erase_if(losses_, [now](const auto &loss) { return now - loss.second > LossLifetime; });
    losses_[address] = now;
}

std::optional<std::chrono::steady_clock::time_point> ConnectionPool::lastLoss(const std::string &address) const
{
    const auto found = losses_.find(address);
    return found == losses_.end() ? std::nullopt : std::optional<std::chrono::steady_clock::time_point>(found->second);
}

void ConnectionPool::watch(const std::shared_ptr<ClientConnection> &connection)
{
    const std::weak_ptr<ConnectionPool> weakPool = weak_from_this();
    const std::weak_ptr<ClientConnection> weakConnection = connection;
    connection->socket().async_wait(Socket::wait_read,
                                    [weakPool, weakConnection](const boost::system::error_code &error) {
                                        const std::shared_ptr<ConnectionPool> pool = weakPool.lock();
                                        const std::shared_ptr<ClientConnection> idle = weakConnection.lock();
                                        if (!error && pool != nullptr && idle != nullptr) {
                                            pool->remove(idle);
                                        }
                                    });
}

void ConnectionPool::remove(const std::shared_ptr<ClientConnection> &connection)
{
    const std::map<std::string, std::deque<IdleConnection>>::iterator found = idle_.find(connection->address());
    if (found == idle_.end()) {
        return;
    }
    const std::size_t removed = std::erase_if(
        found->second, [&connection](const IdleConnection &idle) { return idle.connection == connection; });
    if (removed != 0) {
        if (connection->isClosedByPeer()) {
            noteLoss(connection->address());
        }
        connection->close();
    }
    if (found->second.empty()) {
        idle_.erase(found);
    }
}

} // namespace GeraniumLever
