/** A listening socket. */
#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/core.h"
#include "drivers/http/client_connection.h"

namespace GeraniumLever {

/** Accepts connections until it is closed. */
class Listener : public std::enable_shared_from_this<Listener>
{
public:
    using Handler = std::function<void(Socket)>;

    Listener(boost::asio::io_context &context, Handler handler);

    /** Starts listening on "a.b.c.d:port". */
    Result<Success> start(const std::string &address);

    /** Accepts the connections that are already established, then stops listening. */
    void drain();

    /** Stops listening at once; the handler is not called afterwards. */
    void close();

private:
    using Acceptor = boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, boost::asio::io_context::executor_type>;

    void accept();
    void accepted(const boost::system::error_code &error, Socket socket);

    boost::asio::io_context &context_;
    Handler handler_;
    Acceptor acceptor_;
    boost::asio::steady_timer retryTimer_;
};

} // namespace GeraniumLever
