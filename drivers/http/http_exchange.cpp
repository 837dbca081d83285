#include "drivers/http/http_exchange.h"

#include <utility>

#include "drivers/http/rejected_response.h"

namespace GeraniumLever {

namespace {

namespace http = boost::beast::http;

constexpr std::size_t ReadBytes = 8 * 1024;
constexpr std::size_t MaxAnswerBytes = 64 * 1024 * 1024;

http::request<http::string_body> toMessage(const HttpRequest &request)
{
    constexpr unsigned Http11 = 11;
    http::request<http::string_body> message;
    message.version(Http11);
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host, request.address);
    for (const HeaderField &header : request.headers) {
        message.set(header.name, header.value);
    }
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    for (char &character : lower) {
        if (character >= 'A' && character <= 'Z') {
            character = static_cast<char>(character - 'A' + 'a');
        }
    }
    return lower;
}

HttpResponse toResponse(ResponseParser &parser)
{
    HttpResponse response;
    response.status = parser.status();
    for (const http::fields::value_type &field : parser.head()) {
        response.headers.push_back(HeaderField { lowerCase(field.name_string()), std::string(field.value()) });
    }
    response.body = parser.takeBody();
    return response;
}

} // namespace

HttpExchange::HttpExchange(boost::asio::io_context &context,
                           std::shared_ptr<ConnectionPool> pool,
                           const HttpRequest &request)
    : pool_(pool)
    , parser_(request.method == "HEAD", MaxAnswerBytes)
    , target_(request.target)
    , timer_(context)
    , stallTimer_(context)
    , timeout_(request.timeout)
    , stallTimeout_(request.stallTimeout)
    , responseDelay_(request.responseDelay)
    , poolable_(!request.freshConnection)
{
    sender_ = std::make_shared<RequestSender>(
        context,
        std::move(pool),
        OutgoingRequest { request.address, request.freshConnection, request.timeout, toMessage(request) });
}

void HttpExchange::start(Completion completion)
{
    completion_ = std::move(completion);
    startTimer(timer_, timeout_);
    restartStallTimer(responseDelay_);
    sender_->start([self = shared_from_this()](SendResult result) { self->sent(std::move(result)); });
}

void HttpExchange::abandon()
{
    completion_ = nullptr;
    timer_.cancel();
    stallTimer_.cancel();
    // The sender's handler owns this exchange.
    std::exchange(sender_, nullptr)->cancel();
    if (connection_ != nullptr) {
        connection_->close();
    }
}

void HttpExchange::startTimer(boost::asio::steady_timer &timer, Duration limit)
{
    timer.expires_after(limit);
    timer.async_wait([self = shared_from_this(), &timer](const boost::system::error_code &error) {
        // An expired timer can no longer be cancelled, although data may have restarted it since.
        if (error || self->completion_ == nullptr || timer.expiry() > std::chrono::steady_clock::now()) {
            return;
        }
        self->sender_->cancel();
        if (self->connection_ != nullptr) {
            self->connection_->reset();
        }
    });
}

void HttpExchange::restartStallTimer(Duration allowance)
{
    if (stallTimeout_ > Duration(0)) {
        startTimer(stallTimer_, stallTimeout_ + allowance);
    }
}

void HttpExchange::sent(SendResult result)
{
    if (const SendFailure *failure = std::get_if<SendFailure>(&result)) {
        finish(*failure == SendFailure::NotConnected ? HttpFailure::NotSent : HttpFailure::NoAnswer);
        return;
    }
    connection_ = std::get<std::shared_ptr<ClientConnection>>(result);
    if (completion_ == nullptr) {
        connection_->close();
        return;
    }
    read();
}

void HttpExchange::read()
{
    connection_->socket().async_read_some(
        connection_->input().prepare(ReadBytes),
        [self = shared_from_this()](const boost::system::error_code &error, std::size_t bytes) {
            self->received(error, bytes);
        });
}

void HttpExchange::received(const boost::system::error_code &error, std::size_t bytes)
{
    if (error == boost::asio::error::eof && parser_.headComplete() && parser_.endsWithConnection()) {
        complete();
        return;
    }
    if (error) {
        finish(HttpFailure::NoAnswer);
        return;
    }
    connection_->input().commit(bytes);
    const std::optional<std::string> fault = parser_.feed(connection_->input());
    if (fault.has_value()) {
        logRejectedResponse(connection_->address(), target_, *fault);
        finish(HttpFailure::NoAnswer);
        return;
    }
    if (parser_.complete()) {
        complete();
        return;
    }
    restartStallTimer(Duration(0));
    read();
}

void HttpExchange::complete()
{
    const bool reusable = poolable_ && parser_.keepAlive() && connection_->socket().is_open();
    HttpResponse response = toResponse(parser_);
    if (reusable) {
        pool_->put(std::move(connection_));
    } else {
        connection_->close();
    }
    connection_ = nullptr;
    finish(std::move(response));
}

void HttpExchange::finish(HttpResult result)
{
    timer_.cancel();
    stallTimer_.cancel();
    if (connection_ != nullptr) {
        connection_->close();
    }
    if (completion_ == nullptr) {
        return;
    }
    const Completion completion = std::move(completion_);
    completion_ = nullptr;
    completion(std::move(result));
}

} // namespace GeraniumLever
