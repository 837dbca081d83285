#include "drivers/http/request_sender.h"

#include <optional>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/beast/http/write.hpp>

#include "drivers/http/endpoint.h"

namespace GeraniumLever {

RequestSender::RequestSender(boost::asio::io_context &context,
                             std::shared_ptr<ConnectionPool> pool,
                             OutgoingRequest request)
    : context_(context), pool_(std::move(pool)), request_(std::move(request)), timer_(context)
{
}

void RequestSender::start(Handler handler)
{
    handler_ = std::move(handler);
    if (!request_.freshConnection) {
        connection_ = pool_->take(request_.address);
    }
    pooled_ = connection_ != nullptr;
    if (pooled_) {
        write();
        return;
    }
    connect();
}

void RequestSender::cancel()
{
    cancelled_ = true;
    if (connection_ != nullptr) {
        connection_->reset();
    }
}

void RequestSender::connect()
{
    const std::optional<boost::asio::ip::tcp::endpoint> endpoint = parseEndpoint(request_.address);
    if (!endpoint.has_value()) {
        boost::asio::post(context_, [self = shared_from_this()] { self->finish(SendFailure::NotConnected); });
        return;
    }
    connection_ = std::make_shared<ClientConnection>(context_, request_.address);
    timer_.expires_after(request_.connectTimeout);
    connecting_ = true;
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error && self->connecting_) {
            self->connection_->close();
        }
    });
    connection_->socket().async_connect(
        *endpoint, [self = shared_from_this()](const boost::system::error_code &error) { self->connected(error); });
}

void RequestSender::connected(const boost::system::error_code &error)
{
    connecting_ = false;
    timer_.cancel();
    if (error || cancelled_ || !connection_->socket().is_open()) {
        finish(SendFailure::NotConnected);
        return;
    }
    boost::system::error_code ignored;
    connection_->socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    write();
}

void RequestSender::write()
{
    boost::beast::http::async_write(connection_->socket(),
                                    request_.message,
                                    [self = shared_from_this()](const boost::system::error_code &error,
                                                                std::size_t bytes) { self->written(error, bytes); });
}

void RequestSender::written(const boost::system::error_code &error, std::size_t bytes)
{
    const bool open = connection_->socket().is_open() && !cancelled_;
    if (!error && open) {
        finish(connection_);
        return;
    }
    if (bytes != 0) {
        finish(SendFailure::Broken);
        return;
    }
    if (pooled_ && !cancelled_) {
        pooled_ = false;
        connect();
        return;
    }
    finish(SendFailure::NotConnected);
}

void RequestSender::finish(SendResult result)
{
    const std::shared_ptr<ClientConnection> connection = std::move(connection_);
    connection_ = nullptr;
    if (connection != nullptr && std::holds_alternative<SendFailure>(result)) {
        connection->close();
    }
    const Handler handler = std::move(handler_);
    handler_ = nullptr;
    handler(std::move(result));
}

} // namespace GeraniumLever
