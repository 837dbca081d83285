/** HTTP server with faults, shared by all stand-ins. Single-threaded. */
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "development/standins/http_connection.h"
#include "development/standins/stand_in_fault.h"

namespace GeraniumLever {

/** "a.b.c.d:port" as an endpoint; throws boost::system::system_error if it is malformed. */
boost::asio::ip::tcp::endpoint standInEndpoint(const std::string &address);

class HttpServer
{
public:
    using ConnectionPtr = std::shared_ptr<HttpConnection>;
    using Handler = std::function<void(const ConnectionPtr &)>;
    using FaultObserver = std::function<void(const StandInFault &)>;

    /** Listens at once; throws boost::system::system_error if the address cannot be bound. */
    HttpServer(boost::asio::io_context &context, const std::string &address, Handler handler);

    /** The address that it listens on, with the port if 0 was asked for. */
    std::string address() const;

    /** Called after each change of the fault. */
    void observeFaults(FaultObserver observer) { observer_ = std::move(observer); }

    const StandInFault &fault() const { return fault_; }
    void setFault(const StandInFault &fault);

    /** Adds Geranium-Leaving to all answers. */
    void announceLeaving() { leaving_ = true; }
    bool leaving() const { return leaving_; }

    void stopListening();
    /** Leaves connections over which the fault itself is set. */
    void closeAllConnections();

    /** For HttpConnection. */
    void route(const ConnectionPtr &connection);
    bool losesThisAnswer(const HttpConnection &connection);
    bool holdsOutput(const HttpConnection &connection) const;
    std::string echoedRequestId(const std::string &requestId) const;

private:
    void accept();
    void handleLater(const ConnectionPtr &connection);
    void takeFault(const ConnectionPtr &connection);
    std::vector<ConnectionPtr> openConnections();

    boost::asio::io_context &context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::string address_;
    Handler handler_;
    FaultObserver observer_;
    StandInFault fault_;
    bool leaving_ = false;
    std::vector<std::weak_ptr<HttpConnection>> connections_;
    /** Requests that arrived during a freeze. */
    std::vector<ConnectionPtr> held_;
};

} // namespace GeraniumLever
