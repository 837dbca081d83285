#include "drivers/relay/relay_exchange.h"

#include <charconv>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>

namespace GeraniumLever {

namespace {

namespace http = boost::beast::http;

constexpr std::size_t ReadBytes = 8 * 1024;
constexpr std::uint32_t MaxHeaderBytes = 64 * 1024;
/** Answers up to this size are passed on whole, so that a broken one can be replaced. */
constexpr std::size_t MaxCollectedBytes = 256 * 1024;
/** Longest event that may be held back. */
constexpr std::size_t MaxEventBytes = 1024 * 1024;
/** Part of the stated limit that is used; the upstream counts from an earlier moment. */
constexpr double UsedShareOfIdleLimit = 0.6;
constexpr unsigned StatusContinue = 100;

/** Seconds of "timeout=N" in a Keep-Alive field. */
std::optional<std::chrono::seconds> statedIdleLimit(std::string_view field)
{
    constexpr std::string_view Name = "timeout=";
    const std::size_t found = field.find(Name);
    if (found == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view digits = field.substr(found + Name.size());
    unsigned seconds = 0;
    const std::from_chars_result parsed = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (parsed.ec != std::errc()) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

} // namespace

RelayExchange::RelayExchange(boost::asio::io_context &context,
                             std::shared_ptr<ConnectionPool> pool,
                             RelayDispatch dispatch,
                             RelayCallPtr call,
                             const RelayDialect &dialect,
                             RelayExchangeObserver &observer)
    : context_(context)
    , pool_(std::move(pool))
    , dispatch_(std::move(dispatch))
    , call_(std::move(call))
    , dialect_(dialect)
    , observer_(observer)
    , timer_(context)
{
    resetParser();
}

void RelayExchange::start(const std::string &lastEventId)
{
    const http::fields fields = dialect_.fieldsFor(*call_, dispatch_, lastEventId);
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
    close();
}

void RelayExchange::setReading(bool enabled)
{
    reading_ = enabled;
    if (enabled && connection_ != nullptr && !over_) {
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
    connecting_ = true;
    timer_.expires_after(UpstreamConnectTimeout);
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        // A timer that has expired can no longer be cancelled, though the connection may have been made.
        if (!error && self->connecting_) {
            self->fail(RelayFailure::Kind::NotConnected);
        }
    });
    connection_->socket().async_connect(
        *endpoint, [self = shared_from_this()](const boost::system::error_code &error) { self->connected(error); });
}

void RelayExchange::connected(const boost::system::error_code &error)
{
    if (over_) {
        return;
    }
    connecting_ = false;
    timer_.cancel();
    if (error) {
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
    // An upstream that refuses a long body closes early; its answer may still arrive.
    if (error && !over_ && !headTaken_ && !readPending_) {
        fail(RelayFailure::Kind::Broken);
    }
}

void RelayExchange::read()
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

void RelayExchange::received(const boost::system::error_code &error, std::size_t bytes)
{
    readPending_ = false;
    if (over_) {
        return;
    }
    if (error) {
        // A body without a stated length ends with the connection, but only if that was closed in order.
        if (error == boost::asio::error::eof && headTaken_ && !stale_ && parser_->need_eof()) {
            complete();
            return;
        }
        fail(RelayFailure::Kind::Broken);
        return;
    }
    connection_->input().commit(bytes);
    parse();
}

void RelayExchange::resetParser()
{
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(MaxHeaderBytes);
    parser_->body_limit(boost::none);
    parser_->skip(call_->method == "HEAD");
    headTaken_ = false;
    stale_ = false;
}

void RelayExchange::parse()
{
    boost::beast::flat_buffer &input = connection_->input();
    while (input.size() != 0) {
        boost::system::error_code error;
        const std::size_t used = parser_->put(input.data(), error);
        input.consume(used);
        if (error && error != http::error::need_more) {
            fail(RelayFailure::Kind::InvalidResponse);
            return;
        }
        if (parser_->is_header_done() && !headTaken_ && !takeHead()) {
            return;
        }
        if (headTaken_ && !takeBody()) {
            return;
        }
        if (parser_->is_done()) {
            if (!stale_ && headTaken_) {
                complete();
                return;
            }
            resetParser();
            continue;
        }
        if (error == http::error::need_more || used == 0) {
            break;
        }
    }
    if (input.size() > MaxHeaderBytes) {
        fail(RelayFailure::Kind::InvalidResponse);
        return;
    }
    read();
}

bool RelayExchange::takeHead()
{
    const http::response_header<> &header = parser_->get();
    if (http::to_status_class(header.result()) == http::status_class::informational
        && header.result_int() >= StatusContinue) {
        // Its end is seen by is_done().
        headTaken_ = true;
        stale_ = true;
        return true;
    }
    headTaken_ = true;
    head_ = dialect_.readHead(header.result_int(), header);
    head_.attempt = dispatch_.attempt;
    if (!dialect_.belongsTo(*call_, head_, header)) {
        stale_ = true;
        if (!pooled_) {
            fail(RelayFailure::Kind::InvalidResponse);
            return false;
        }
        return true;
    }
    answer_.status = header.result_int();
    answer_.reason = std::string(header.reason());
    answer_.fields = header;
    removeConnectionFields(answer_.fields);
    if (!dispatch_.streamed && !head_.notRun) {
        return true;
    }
    passHead();
    return !over_;
}

void RelayExchange::passHead()
{
    headPassed_ = true;
    observer_.exchangeHead(head_, answer_);
}

bool RelayExchange::takeBody()
{
    std::string piece;
    piece.swap(parser_->get().body());
    if (stale_ || piece.empty()) {
        return true;
    }
    if (headPassed_) {
        passBody(std::move(piece));
        return !over_;
    }
    collected_ += piece;
    if (collected_.size() > MaxCollectedBytes) {
        passHead();
        if (!over_) {
            passBody(std::exchange(collected_, {}));
        }
    }
    return !over_;
}

void RelayExchange::passBody(std::string piece)
{
    if (dispatch_.resumable && dispatch_.streamed) {
        piece = framer_.feed(piece);
        if (framer_.heldBytes() > MaxEventBytes) {
            fail(RelayFailure::Kind::InvalidResponse);
            return;
        }
    }
    if (!piece.empty()) {
        observer_.exchangeData(dispatch_.attempt, piece, framer_.lastId());
    }
}

void RelayExchange::complete()
{
    if (framer_.heldBytes() != 0) {
        fail(RelayFailure::Kind::Broken);
        return;
    }
    const std::shared_ptr<RelayExchange> self = shared_from_this();
    if (!headPassed_) {
        answer_.length = collected_.size();
        passHead();
        if (!over_ && !collected_.empty()) {
            observer_.exchangeData(dispatch_.attempt, collected_, framer_.lastId());
        }
    }
    if (over_) {
        return;
    }
    // Bytes beyond the answer, or a body that is not yet sent, would be taken for part of the next exchange.
    const bool clean = !writing_ && connection_->input().size() == 0;
    if (clean && parser_->keep_alive() && !parser_->need_eof()) {
        const std::optional<std::chrono::seconds> stated = statedIdleLimit(parser_->get()[http::field::keep_alive]);
        const std::chrono::duration<double> limit =
            stated.has_value() ? *stated * UsedShareOfIdleLimit : std::chrono::duration<double>(NewConnectionIdleLimit);
        connection_->setIdleLimit(std::chrono::duration_cast<std::chrono::steady_clock::duration>(limit));
        pool_->put(std::move(connection_));
        connection_ = nullptr;
    }
    close();
    observer_.exchangeEnded(dispatch_.attempt);
}

void RelayExchange::fail(RelayFailure::Kind kind)
{
    if (close()) {
        observer_.exchangeFailed({ dispatch_.attempt, kind });
    }
}

bool RelayExchange::close()
{
    if (over_) {
        return false;
    }
    over_ = true;
    timer_.cancel();
    if (connection_ != nullptr) {
        connection_->close();
    }
    return true;
}

} // namespace GeraniumLever
