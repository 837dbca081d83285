/** Sending of one request on a pooled or new connection. */
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "core/core.h"
#include "drivers/http/connection_pool.h"

namespace GeraniumLever {

/** A request and how it is to be sent. */
struct OutgoingRequest
{
    /** "a.b.c.d:port". */
    std::string address;
    /** True if a pooled connection must not be used. */
    bool freshConnection = false;
    Duration connectTimeout {};
    boost::beast::http::request<boost::beast::http::string_body> message;
};

/** Why a request was not sent completely. */
enum class SendFailure : std::uint8_t {
    /** No byte was written. */
    NotConnected,
    /** At least one byte was written. */
    Broken,
};

/** The connection on which the answer is to be read, or the failure. */
using SendResult = std::variant<std::shared_ptr<ClientConnection>, SendFailure>;

/** Writes a request once. A pooled connection that fails before any byte was written is replaced by a new one. */
class RequestSender : public std::enable_shared_from_this<RequestSender>
{
public:
    using Handler = std::function<void(SendResult)>;

    RequestSender(boost::asio::io_context &context, std::shared_ptr<ConnectionPool> pool, OutgoingRequest request);

    /** The handler is called exactly once, never from within this call. */
    void start(Handler handler);

    /** Aborts sending; the handler is still called, with the failure that tells whether any byte was written. */
    void cancel();

private:
    void connect();
    void connected(const boost::system::error_code &error);
    void write();
    void written(const boost::system::error_code &error, std::size_t bytes);
    void finish(SendResult result);

    boost::asio::io_context &context_;
    std::shared_ptr<ConnectionPool> pool_;
    OutgoingRequest request_;
    Handler handler_;
    std::shared_ptr<ClientConnection> connection_;
    boost::asio::steady_timer timer_;
    bool pooled_ = false;
    bool connecting_ = false;
    bool cancelled_ = false;
};

} // namespace GeraniumLever
