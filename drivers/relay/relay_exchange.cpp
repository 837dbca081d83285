#include "drivers/relay/relay_exchange.h"

#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>

#include "drivers/relay/idle_limit.h"

namespace GeraniumLever {

namespace {

namespace http = boost::beast::http;

constexpr std::size_t ReadBytes = 8 * 1024;
/** Responses up to this size are buffered and forwarded only once complete, so that a broken one can be replaced by
 * that of another attempt. */
constexpr std::size_t MaxBufferedBodyBytes = 256 * 1024;
/** A buffered body of unknown length goes on only if this much of it has arrived since the last report. */
constexpr std::size_t MinReportedBytes = 64;
/** Largest event, with the empty lines before it. */
constexpr std::size_t MaxEventBytes = 1024 * 1024;
/** Maximum size of all responses that are discarded before the one to the request. */
constexpr std::size_t MaxSkippedBytes = 256 * 1024;
constexpr std::string_view EventStreamType = "text/event-stream";

BodyFraming framingOf(const ResponseParser &parser)
{
    if (parser.endsWithConnection()) {
        return BodyFraming::Connection;
    }
    return parser.isChunked() ? BodyFraming::Chunked : BodyFraming::Length;
}

/** True if the body consists of server-sent events, which a response on a streamed route is assumed to do unless it
 *  states another type. */
bool isEventStream(const ResponseParser &parser, bool streamed)
{
    if (!isSuccessfulStatus(parser.status()) || parser.head().count(http::field::content_encoding) != 0) {
        return false;
    }
    const std::string_view type = parser.head()[http::field::content_type];
    return type.empty() ? streamed : boost::beast::iequals(type.substr(0, EventStreamType.size()), EventStreamType);
}

/** Even a process that is short of processor time notices sooner that a connection is established. */
constexpr std::chrono::seconds MaxConnectTime(1);

} // namespace

RelayExchange::RelayExchange(boost::asio::io_context &context,
                             std::shared_ptr<ConnectionPool> pool,
                             RelayDispatch dispatch,
                             RelayCallPtr call,
                             const RelayHeaderCodec &codec,
                             RelayExchangeObserver &observer)
    : context_(context)
    , pool_(std::move(pool))
    , dispatch_(std::move(dispatch))
    , call_(std::move(call))
    , codec_(codec)
    , observer_(observer)
    , timer_(context)
    , readEnabled_(!dispatch_.readPaused)
{
    resetParser();
}

void RelayExchange::start(const std::string &lastEventId)
{
    dueAt_ = BootClock().now() + dispatch_.timeLeft;
    const http::fields fields = codec_.upstreamFields(*call_, dispatch_, lastEventId);
    output_.reserve(1024 + call_->body.size());
    output_.append(call_->method).append(" ").append(call_->target).append(" HTTP/1.1\r\n");
    for (const http::fields::value_type &field : fields) {
        output_.append(field.name_string()).append(": ").append(field.value()).append("\r\n");
    }
    const bool bodyExpected = call_->method != "GET" && call_->method != "HEAD";
    if (!call_->body.empty() || bodyExpected) {
        output_.append("Content-Length: ").append(std::to_string(call_->body.size())).append("\r\n");
    }
    output_.append("\r\n").append(call_->body);
    if (!dispatch_.freshConnection) {
        connection_ = pool_->take(dispatch_.address);
    }
    pooled_ = connection_ != nullptr;
    if (pooled_) {
        send();
        return;
    }
    connect();
}

void RelayExchange::cancel()
{
    abort();
}

void RelayExchange::setReading(bool enabled)
{
    readEnabled_ = enabled;
    if (enabled && connection_ != nullptr && !connecting_ && !finished_) {
        read();
    }
}

void RelayExchange::connect()
{
    const std::optional<boost::asio::ip::tcp::endpoint> endpoint = parseEndpoint(dispatch_.address);
    if (!endpoint.has_value()) {
        boost::asio::post(context_, [self = shared_from_this()] { self->fail(RelayFailure::Kind::NotConnected); });
        return;
    }
    connection_ = std::make_shared<ClientConnection>(context_, dispatch_.address);
    connection_->setPrecedingLoss(pool_->lastLoss(dispatch_.address));
    connecting_ = true;
    connectStartedAt_ = BootClock().now();
    timer_.expires_after(UpstreamConnectTimeout);
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        // An expired timer can no longer be cancelled, although the connection may have been established since.
        if (!error && self->connecting_) {
            self->fail(RelayFailure::Kind::NotConnected);
        }
    });
    connection_->socket().async_connect(
        *endpoint, [self = shared_from_this()](const boost::system::error_code &error) { self->connected(error); });
}

void RelayExchange::connected(const boost::system::error_code &error)
{
    if (finished_) {
        return;
    }
    connecting_ = false;
    timer_.cancel();
    if (error) {
        pool_->noteLoss(dispatch_.address);
        fail(RelayFailure::Kind::NotConnected);
        return;
    }
    // If the process was paused meanwhile, what allowed the request to be sent may no longer hold.
    if (BootClock().now() - connectStartedAt_ > MaxConnectTime) {
        fail(RelayFailure::Kind::NotConnected);
        return;
    }
    boost::system::error_code ignored;
    connection_->socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    send();
}

void RelayExchange::send()
{
    writing_ = true;
    boost::asio::async_write(
        connection_->socket(),
        boost::asio::buffer(output_),
        [self = shared_from_this()](const boost::system::error_code &error, std::size_t) { self->sent(error); });
    read();
}

void RelayExchange::sent(const boost::system::error_code &error)
{
    writing_ = false;
    if (!error || finished_) {
        return;
    }
    connection_->noteWriteFailure();
    // An upstream that rejects a long body closes the connection early; its response may still arrive.
    if (!headParsed_ && !readPending_) {
        pool_->noteLoss(dispatch_.address);
        fail(RelayFailure::Kind::Broken);
    }
}

void RelayExchange::read()
{
    if (!readEnabled_ || readPending_ || finished_) {
        return;
    }
    readPending_ = true;
    connection_->socket().async_read_some(
        connection_->input().prepare(ReadBytes),
        [self = shared_from_this()](const boost::system::error_code &error, std::size_t bytes) {
            self->received(error, bytes);
        });
}

void RelayExchange::received(const boost::system::error_code &error, std::size_t bytes)
{
    readPending_ = false;
    if (finished_) {
        return;
    }
    if (error) {
        // A body without a stated length ends when the connection is closed, but only if it was closed gracefully.
        const bool endsHere = headParsed_ && !skipResponse_ && parser_->endsWithConnection();
        if (endsHere && error == boost::asio::error::eof) {
            // A write that has taken the error of a reset may have been carried out without its handler.
            readPending_ = true;
            boost::asio::post(context_, [self = shared_from_this()]() { self->inputEnded(); });
            return;
        }
        if (endsHere) {
            rejectResetBody();
            return;
        }
        pool_->noteLoss(dispatch_.address);
        fail(RelayFailure::Kind::Broken);
        return;
    }
    connection_->input().commit(bytes);
    parse();
}

void RelayExchange::inputEnded()
{
    if (finished_) {
        return;
    }
    if (connection_->hasWriteFailed()) {
        rejectResetBody();
        return;
    }
    complete();
}

void RelayExchange::resetParser()
{
    parser_.emplace(call_->method == "HEAD");
    headParsed_ = false;
    skipResponse_ = false;
}

void RelayExchange::parse()
{
    boost::beast::flat_buffer &input = connection_->input();
    while (input.size() != 0) {
        const std::size_t unparsed = input.size();
        const std::optional<std::string> fault = parser_->feed(input);
        if (fault.has_value()) {
            reject(RelayFailure::Kind::InvalidResponse, *fault);
            return;
        }
        if (parser_->headComplete() && !headParsed_ && !processHead()) {
            return;
        }
        skippedBytes_ += skipResponse_ ? unparsed - input.size() : 0;
        if (skippedBytes_ > MaxSkippedBytes) {
            reject(RelayFailure::Kind::InvalidResponse, "responses to other requests do not end");
            return;
        }
        if (headParsed_ && !processBody()) {
            return;
        }
        if (!parser_->complete()) {
            break;
        }
        if (!skipResponse_) {
            complete();
            return;
        }
        resetParser();
    }
    reportHeldBack();
    read();
}

bool RelayExchange::processHead()
{
    const ResponseParser::Head &header = parser_->head();
    headParsed_ = true;
    if (!reportNotice()) {
        return false;
    }
    head_ = codec_.decodeHead(parser_->status(), header);
    head_.attempt = dispatch_.attempt;
    head_.framing = framingOf(*parser_);
    head_.connectionReused = pooled_;
    if (!codec_.matchesRequest(*call_, head_, header)) {
        skipResponse_ = true;
        if (!pooled_) {
            reject(RelayFailure::Kind::InvalidResponse, "the response does not name the request");
            return false;
        }
        return true;
    }
    response_.status = parser_->status();
    response_.reason = std::string(header.reason());
    response_.fields = header;
    removeHopByHopFields(response_.fields);
    eventStream_ = isEventStream(*parser_, dispatch_.streamed);
    head_.resumable = forwardsWholeEvents();
    const bool forwardsImmediately = dispatch_.streamed && isSuccessfulStatus(parser_->status());
    if (!forwardsImmediately && !head_.notRun) {
        return true;
    }
    forwardHead();
    return !finished_;
}

bool RelayExchange::reportNotice()
{
    UpstreamNotice notice = codec_.decodeNotice(parser_->status(), parser_->head());
    if (!notice.empty()) {
        notice.attempt = dispatch_.attempt;
        notice.sinceLoss = sinceLoss();
        observer_.exchangeNotice(notice);
    }
    return !finished_;
}

std::optional<Duration> RelayExchange::sinceLoss() const
{
    const std::optional<std::chrono::steady_clock::time_point> &loss = connection_->precedingLoss();
    if (!loss.has_value()) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - *loss);
}

void RelayExchange::forwardHead()
{
    headForwarded_ = true;
    observer_.exchangeHead(head_, response_);
}

bool RelayExchange::processBody()
{
    std::string piece = parser_->takeBody();
    if (skipResponse_ || piece.empty()) {
        return true;
    }
    if (eventStream_ && !forwardsWholeEvents()) {
        framer_.track(piece);
    }
    if (headForwarded_) {
        forwardBody(std::move(piece));
        return !finished_;
    }
    bufferedBody_ += piece;
    if (bufferedBody_.size() > MaxBufferedBodyBytes) {
        forwardHead();
        if (!finished_) {
            forwardBody(std::exchange(bufferedBody_, {}));
        }
    }
    return !finished_;
}

void RelayExchange::reportHeldBack()
{
    if (!headParsed_ || skipResponse_ || headForwarded_ || isServerErrorStatus(parser_->status())) {
        return;
    }
    if (!reportedBytes_.has_value()) {
        headArrivedAt_ = BootClock().now();
    } else if (!isArrivingInTime()) {
        return;
    }
    reportedBytes_ = bufferedBody_.size();
    observer_.exchangeHeldBack(dispatch_.attempt);
}

bool RelayExchange::isArrivingInTime() const
{
    const std::optional<std::uint64_t> rest = parser_->missingBodyBytes();
    if (!rest.has_value()) {
        return bufferedBody_.size() >= *reportedBytes_ + MinReportedBytes;
    }
    const TimePoint now = BootClock().now();
    const std::chrono::duration<double> passed = now - headArrivedAt_;
    const std::chrono::duration<double> left = dueAt_ - now;
    const double arrived = static_cast<double>(bufferedBody_.size());
    return static_cast<double>(*rest) * passed <= arrived * left;
}

void RelayExchange::forwardBody(std::string piece)
{
    if (forwardsWholeEvents()) {
        piece = framer_.feed(piece);
    }
    if (framer_.bytesSinceEvent() > MaxEventBytes) {
        reject(RelayFailure::Kind::InvalidResponse, "an event does not end");
        return;
    }
    if (!piece.empty()) {
        observer_.exchangeData(dispatch_.attempt, piece, framer_.lastId());
    }
}

bool RelayExchange::forwardsWholeEvents() const
{
    return dispatch_.resumable && dispatch_.streamed && eventStream_;
}

bool RelayExchange::isCutOff() const
{
    // A connection that ends the body ends the same way if the upstream dies.
    const bool neverBegan = eventStream_ && parser_->endsWithConnection() && !framer_.hasCompleteEvent();
    return framer_.isInsideEvent() || neverBegan;
}

void RelayExchange::complete()
{
    if (isCutOff()) {
        reject(RelayFailure::Kind::Broken, "the response ends inside an event or before the first one");
        return;
    }
    const std::shared_ptr<RelayExchange> self = shared_from_this();
    if (!headForwarded_) {
        response_.length = bufferedBody_.size();
        forwardHead();
        if (!finished_ && !bufferedBody_.empty()) {
            observer_.exchangeData(dispatch_.attempt, bufferedBody_, framer_.lastId());
        }
    }
    if (finished_) {
        return;
    }
    // Input beyond the response, or a request body that is not fully sent, would be taken for part of the next
    // exchange.
    const bool isReusable = !writing_ && connection_->input().size() == 0;
    if (isReusable && parser_->keepAlive()) {
        connection_->setIdleLimit(idleLimitOf(parser_->head()[http::field::keep_alive]));
        pool_->put(std::move(connection_));
        connection_ = nullptr;
    }
    close();
    observer_.exchangeEnded(dispatch_.attempt);
}

void RelayExchange::fail(RelayFailure::Kind kind)
{
    if (abort()) {
        observer_.exchangeFailed({ dispatch_.attempt, kind });
    }
}

void RelayExchange::reject(RelayFailure::Kind kind, std::string_view reason)
{
    logRejectedResponse(dispatch_.upstream.text(), call_->attributes.callerId, reason);
    fail(kind);
}

void RelayExchange::rejectResetBody()
{
    pool_->noteLoss(dispatch_.address);
    reject(RelayFailure::Kind::Broken, "the connection that ends the body was reset");
}

bool RelayExchange::abort()
{
    // A request that is given up must not reach the upstream later, when a broken link is back.
    if (!finished_ && connection_ != nullptr) {
        connection_->reset();
    }
    return close();
}

bool RelayExchange::close()
{
    if (finished_) {
        return false;
    }
    finished_ = true;
    timer_.cancel();
    if (connection_ != nullptr) {
        connection_->close();
    }
    return true;
}

} // namespace GeraniumLever
