#include "drivers/http/upstream_exchange.h"

#include <charconv>
#include <optional>
#include <utility>

#include <boost/beast/core/string.hpp>

#include "drivers/http/rejected_response.h"

namespace GeraniumLever {

namespace {

namespace http = boost::beast::http;

constexpr std::size_t ReadBytes = 8 * 1024;
constexpr std::size_t MaxEventBytes = 4 * 1024 * 1024;
constexpr std::string_view AttemptIdHeader = "X-Request-Id";
constexpr std::string_view LeavingHeader = "Geranium-Leaving";
constexpr std::string_view OutcomeHeader = "Geranium-Outcome";
constexpr std::string_view ReplayedHeader = "Geranium-Replayed";
constexpr std::string_view EventStreamType = "text/event-stream";

/** Parses a Retry-After header in whole seconds; empty if it is absent or of another form. */
std::optional<Duration> parseRetryAfter(const http::response_header<> &header)
{
    const boost::beast::string_view text = header[http::field::retry_after];
    std::uint32_t seconds = 0;
    const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

http::request<http::string_body> toMessage(const UpstreamDispatch &dispatch)
{
    constexpr unsigned Http11 = 11;
    http::request<http::string_body> message;
    message.version(Http11);
    message.method_string(dispatch.method);
    message.target(dispatch.path);
    message.set(http::field::host, dispatch.address);
    if (!dispatch.contentType.empty()) {
        message.set(http::field::content_type, dispatch.contentType);
    }
    for (const HeaderField &header : dispatch.headers) {
        message.set(header.name, header.value);
    }
    message.set(AttemptIdHeader, dispatch.attempt.text());
    message.body() = dispatch.body;
    message.prepare_payload();
    return message;
}

} // namespace

UpstreamExchange::UpstreamExchange(boost::asio::io_context &context,
                                   std::shared_ptr<ConnectionPool> pool,
                                   const UpstreamClientSettings &settings,
                                   const UpstreamDispatch &dispatch,
                                   Sink sink,
                                   ClosedHandler closed)
    : pool_(pool)
    , parser_(dispatch.method == "HEAD")
    , eventStreamParser_(MaxEventBytes)
    , timer_(context)
    , silenceLimit_(dispatch.silenceLimit)
    , attempt_(dispatch.attempt)
    , sink_(std::move(sink))
    , onClosed_(std::move(closed))
    , poolable_(!dispatch.freshConnection)
    , streamRequested_(dispatch.streamed)
{
    sender_ = std::make_shared<RequestSender>(
        context,
        std::move(pool),
        OutgoingRequest { dispatch.address, dispatch.freshConnection, settings.connectTimeout, toMessage(dispatch) });
}

void UpstreamExchange::start()
{
    lastActivity_ = std::chrono::steady_clock::now();
    armTimer(lastActivity_ + silenceLimit_);
    sender_->start([self = shared_from_this()](SendResult result) { self->sent(std::move(result)); });
}

void UpstreamExchange::cancel()
{
    close();
}

void UpstreamExchange::setReading(bool enabled)
{
    if (reading_ == enabled) {
        return;
    }
    reading_ = enabled;
    lastActivity_ = std::chrono::steady_clock::now();
    if (enabled && connection_ != nullptr) {
        read();
    }
}

void UpstreamExchange::sent(SendResult result)
{
    sender_ = nullptr;
    if (const SendFailure *failure = std::get_if<SendFailure>(&result)) {
        fail(*failure == SendFailure::NotConnected ? UpstreamFailure::Kind::NotConnected
                                                   : UpstreamFailure::Kind::Broken);
        return;
    }
    connection_ = std::get<std::shared_ptr<ClientConnection>>(result);
    if (over_) {
        connection_->close();
        return;
    }
    lastActivity_ = std::chrono::steady_clock::now();
    read();
}

void UpstreamExchange::read()
{
    if (!reading_ || readPending_ || over_) {
        return;
    }
    readPending_ = true;
    connection_->socket().async_read_some(
        connection_->input().prepare(ReadBytes),
        [self = shared_from_this()](const boost::system::error_code &error, std::size_t bytes) {
            self->received(error, bytes);
        });
}

void UpstreamExchange::received(const boost::system::error_code &error, std::size_t bytes)
{
    readPending_ = false;
    if (over_) {
        return;
    }
    if (error) {
        fail(UpstreamFailure::Kind::Broken);
        return;
    }
    lastActivity_ = std::chrono::steady_clock::now();
    connection_->input().commit(bytes);
    if (parse()) {
        read();
    }
}

bool UpstreamExchange::parse()
{
    const std::optional<std::string> fault = parser_.feed(connection_->input());
    if (fault.has_value()) {
        reject(*fault);
        return false;
    }
    return reportProgress();
}

bool UpstreamExchange::reportProgress()
{
    if (!parser_.headComplete()) {
        return true;
    }
    if (!headReported_) {
        reportHead();
    }
    std::string piece = parser_.takeBody();
    if (!over_ && !piece.empty() && !reportBody(std::move(piece))) {
        return false;
    }
    if (!over_ && parser_.complete()) {
        complete();
    }
    return !over_;
}

void UpstreamExchange::reportHead()
{
    headReported_ = true;
    const ResponseParser::Head &header = parser_.head();
    UpstreamHead head;
    head.attempt = attempt_;
    head.status = parser_.status();
    head.contentType = std::string(header[http::field::content_type]);
    head.echoedAttempt = std::string(header[AttemptIdHeader]);
    head.leaving = boost::beast::iequals(header[LeavingHeader], "true");
    head.outcome = std::string(header[OutcomeHeader]);
    head.retryAfter = parseRetryAfter(header);
    head.replayed = boost::beast::iequals(header[ReplayedHeader], "true");
    eventStream_ = streamRequested_
        && boost::beast::iequals(header[http::field::content_type].substr(0, EventStreamType.size()), EventStreamType);
    sink_(std::move(head));
}

bool UpstreamExchange::reportBody(std::string piece)
{
    if (!eventStream_) {
        sink_(UpstreamData { attempt_, std::move(piece) });
        return !over_;
    }
    const bool acceptable = eventStreamParser_.feed(piece, [this](std::string data) {
        if (!over_) {
            sink_(UpstreamData { attempt_, std::move(data) });
        }
    });
    if (!over_ && !acceptable) {
        reject("an event does not end");
    }
    return !over_;
}

void UpstreamExchange::complete()
{
    eventStreamParser_.finish([this](std::string data) {
        if (!over_) {
            sink_(UpstreamData { attempt_, std::move(data) });
        }
    });
    if (over_) {
        return;
    }
    if (poolable_ && parser_.keepAlive()) {
        pool_->put(std::move(connection_));
        connection_ = nullptr;
    }
    close();
    sink_(UpstreamEnd { attempt_ });
}

void UpstreamExchange::fail(UpstreamFailure::Kind kind)
{
    if (close()) {
        sink_(UpstreamFailure { attempt_, kind });
    }
}

void UpstreamExchange::reject(std::string_view reason)
{
    logRejectedResponse(connection_->address(), attempt_.text(), reason);
    fail(UpstreamFailure::Kind::Broken);
}

bool UpstreamExchange::close()
{
    if (over_) {
        return false;
    }
    over_ = true;
    timer_.cancel();
    // The sender's handler owns this exchange.
    if (const std::shared_ptr<RequestSender> sender = std::exchange(sender_, nullptr)) {
        sender->cancel();
    }
    if (connection_ != nullptr) {
        connection_->reset();
    }
    onClosed_(attempt_);
    return true;
}

void UpstreamExchange::armTimer(SteadyTime deadline)
{
    timer_.expires_at(deadline);
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error && !self->over_) {
            self->timerExpired();
        }
    });
}

bool UpstreamExchange::hasUnreadInput() const
{
    boost::system::error_code error;
    return connection_ != nullptr && connection_->socket().available(error) != 0 && !error;
}

void UpstreamExchange::timerExpired()
{
    const SteadyTime now = std::chrono::steady_clock::now();
    // Data that arrived while the process was paused may not have been read yet.
    if (!reading_ || hasUnreadInput()) {
        lastActivity_ = now;
    }
    const SteadyTime deadline = lastActivity_ + silenceLimit_;
    if (now < deadline) {
        armTimer(deadline);
        return;
    }
    armTimer(now + silenceLimit_);
    sink_(UpstreamFailure { attempt_, UpstreamFailure::Kind::Silent });
}

} // namespace GeraniumLever
