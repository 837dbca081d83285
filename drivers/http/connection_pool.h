/** Pool of idle client connections for reuse. */
#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "drivers/http/client_connection.h"

namespace GeraniumLever {

class ConnectionPool : public std::enable_shared_from_this<ConnectionPool>
{
public:
    explicit ConnectionPool(std::size_t maxIdlePerAddress);

    /** The most recently used connection to the address that is still usable; null if there is none. */
    std::shared_ptr<ClientConnection> take(const std::string &address);

    /** Adds a connection on which no exchange is open; closes the oldest one of the address if there are too many. */
    void put(std::shared_ptr<ClientConnection> connection);

    /** Closes every idle connection. */
    void clear();

    std::size_t idleConnections(const std::string &address) const;

    /** Records that the peer has refused or broken off a connection. */
    void noteLoss(const std::string &address);

    /** When the peer last did so, also to an idle connection; absent if that was not lately. */
    std::optional<std::chrono::steady_clock::time_point> lastLoss(const std::string &address) const;

private:
    struct IdleConnection
    {
        std::shared_ptr<ClientConnection> connection;
        std::chrono::steady_clock::time_point idleSince;
    };

    /** Removes the connection as soon as its peer closes it. */
    void watch(const std::shared_ptr<ClientConnection> &connection);
    void remove(const std::shared_ptr<ClientConnection> &connection);

    std::size_t maxIdlePerAddress_;
    std::map<std::string, std::deque<IdleConnection>> idle_;
    std::map<std::string, std::chrono::steady_clock::time_point> losses_;
};

} // namespace GeraniumLever
