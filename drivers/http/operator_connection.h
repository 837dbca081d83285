/** One connection from an operator or a metrics collector. */
#pragma once

#include <memory>
#include <optional>

#include <boost/beast/core/basic_stream.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "drivers/http/client_connection.h"
#include "drivers/http/operator_server.h"

namespace GeraniumLever {

/** Reads requests one at a time, checks their keys, and writes the replies. */
class OperatorConnection : public std::enable_shared_from_this<OperatorConnection>
{
public:
    /** Called once when the connection has ended. */
    using ClosedHandler = std::function<void(const std::shared_ptr<OperatorConnection> &)>;

    OperatorConnection(Socket socket,
                       const OperatorServerSettings &settings,
                       OperatorServer::Handler handler,
                       ClosedHandler closed);

    void start();
    void close();

private:
    using Stream = boost::beast::basic_stream<boost::asio::ip::tcp, boost::asio::io_context::executor_type>;
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    using Response = boost::beast::http::response<boost::beast::http::string_body>;

    void read();
    void received(const boost::system::error_code &error);
    void dispatchCall();
    bool isAuthorized(const Request &request) const;
    void reply(OperatorReply reply);
    void replyError(ResultCode code, std::string message);
    void written(const boost::system::error_code &error);
    /** Lets the peer read the last reply before the connection is closed. */
    void linger();
    void discardInput();
    void drop();

    Stream stream_;
    OperatorServerSettings settings_;
    OperatorServer::Handler handler_;
    ClosedHandler onClosed_;
    boost::beast::flat_buffer input_;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
    std::optional<Response> response_;
    bool keepAlive_ = false;
    bool awaitingReply_ = false;
    bool closed_ = false;
};

} // namespace GeraniumLever
