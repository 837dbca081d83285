#include "drivers/http/operator_connection.h"

#include <string_view>
#include <utility>

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "drivers/http/error_body.h"
#include "drivers/http/key_hash.h"

namespace GeraniumLever {

namespace {

namespace http = boost::beast::http;

constexpr std::uint32_t MaxHeaderBytes = 16 * 1024;
constexpr std::size_t DiscardBytes = 16 * 1024;
constexpr std::chrono::seconds LingerTime(2);
/** Paths that need no key, for load balancers and metrics collectors. */
constexpr std::string_view PublicPaths[] = { "/healthz", "/readyz", "/metrics" };

bool isPublicPath(std::string_view path)
{
    for (const std::string_view open : PublicPaths) {
        if (path == open) {
            return true;
        }
    }
    return false;
}

OperatorRequest toOperatorRequest(const http::request<http::string_body> &message)
{
    const std::string target(message.target());
    const std::size_t mark = target.find('?');
    OperatorRequest request;
    request.method = std::string(message.method_string());
    request.path = target.substr(0, mark);
    request.query = mark == std::string::npos ? std::string() : target.substr(mark + 1);
    request.body = message.body();
    return request;
}

} // namespace

OperatorConnection::OperatorConnection(Socket socket,
                                       const OperatorServerSettings &settings,
                                       OperatorServer::Handler handler,
                                       ClosedHandler closed)
    : stream_(std::move(socket)), settings_(settings), handler_(std::move(handler)), onClosed_(std::move(closed))
{
}

void OperatorConnection::start()
{
    read();
}

void OperatorConnection::close()
{
    closed_ = true;
    stream_.close();
}

void OperatorConnection::read()
{
    parser_.emplace();
    parser_->header_limit(MaxHeaderBytes);
    parser_->body_limit(settings_.maxBodyBytes);
    stream_.expires_after(settings_.requestTimeout);
    http::async_read(
        stream_, input_, *parser_, [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
            self->received(error);
        });
}

void OperatorConnection::received(const boost::system::error_code &error)
{
    if (closed_) {
        return;
    }
    stream_.expires_never();
    if (!error) {
        keepAlive_ = parser_->keep_alive();
        dispatchCall();
        return;
    }
    keepAlive_ = false;
    if (error == http::error::body_limit) {
        replyError(ResultCode::BodyTooLarge, "The body is too long.");
        return;
    }
    if (error == http::error::header_limit) {
        replyError(ResultCode::HeadersTooLarge, "The header is too long.");
        return;
    }
    const bool badInput = error.category() == http::make_error_code(http::error::bad_method).category();
    if (badInput && error != http::error::end_of_stream && error != http::error::partial_message) {
        replyError(ResultCode::MalformedRequest, "The request is not well-formed: " + error.message() + ".");
        return;
    }
    drop();
}

void OperatorConnection::dispatchCall()
{
    const Request message = parser_->release();
    const OperatorRequest request = toOperatorRequest(message);
    if (!isPublicPath(request.path) && !isAuthorized(message)) {
        replyError(ResultCode::Unauthorized, "The operator key is missing or unknown.");
        return;
    }
    awaitingReply_ = true;
    const std::weak_ptr<OperatorConnection> weakSelf = weak_from_this();
    handler_(request, [weakSelf](OperatorReply reply) {
        const std::shared_ptr<OperatorConnection> self = weakSelf.lock();
        if (self != nullptr && self->awaitingReply_ && !self->closed_) {
            self->reply(std::move(reply));
        }
    });
}

bool OperatorConnection::isAuthorized(const Request &request) const
{
    const std::string_view key = bearerKey(request[http::field::authorization]);
    const std::string hash = sha256Hex(key);
    bool known = false;
    for (const std::string &keyHash : settings_.keyHashes) {
        known |= equalInConstantTime(hash, keyHash);
    }
    return known && !key.empty();
}

void OperatorConnection::reply(OperatorReply reply)
{
    constexpr unsigned Http11 = 11;
    awaitingReply_ = false;
    response_.emplace();
    response_->version(Http11);
    response_->result(reply.status);
    response_->set(http::field::content_type, reply.contentType);
    response_->keep_alive(keepAlive_);
    response_->body() = std::move(reply.body);
    response_->prepare_payload();
    stream_.expires_after(settings_.requestTimeout);
    http::async_write(
        stream_, *response_, [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
            self->written(error);
        });
}

void OperatorConnection::replyError(ResultCode code, std::string message)
{
    const Error error { code, std::move(message), {} };
    reply(OperatorReply { httpStatusFor(code), "application/json", formatErrorBody(error, std::nullopt) });
}

void OperatorConnection::written(const boost::system::error_code &error)
{
    if (closed_) {
        return;
    }
    if (error) {
        drop();
        return;
    }
    if (!keepAlive_) {
        linger();
        return;
    }
    read();
}

void OperatorConnection::linger()
{
    boost::system::error_code ignored;
    stream_.socket().shutdown(Socket::shutdown_send, ignored);
    stream_.expires_after(LingerTime);
    discardInput();
}

void OperatorConnection::discardInput()
{
    input_.clear();
    stream_.async_read_some(input_.prepare(DiscardBytes),
                            [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
                                if (self->closed_) {
                                    return;
                                }
                                if (error) {
                                    self->drop();
                                    return;
                                }
                                self->discardInput();
                            });
}

void OperatorConnection::drop()
{
    boost::system::error_code ignored;
    stream_.socket().shutdown(Socket::shutdown_both, ignored);
    close();
    onClosed_(shared_from_this());
}

} // namespace GeraniumLever
