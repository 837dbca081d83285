#include "drivers/relay/relay_connection.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/beast/http/status.hpp>

namespace GeraniumLever {

namespace {

namespace http = boost::beast::http;

/** Pipelined input that is buffered while a request is being answered, beyond the header limit. */
constexpr std::size_t MaxPipelinedBytes = 16 * 1024;
/** Unsent bytes above which reading from the upstream is paused. */
constexpr std::size_t BacklogThresholdBytes = 256 * 1024;
/** A closing connection still reads and discards up to this much input, so that the peer can read the response before
 * it sees a reset. */
constexpr std::size_t MaxDiscardedBytes = 8 * 1024 * 1024;
constexpr int SendBufferBytes = 64 * 1024;
constexpr std::chrono::seconds LingerTimeout(2);
/** Time for the body to arrive, in addition to the header timeout. */
constexpr std::chrono::seconds BodyTimeout(20);
/** A connection whose output stays backlogged for this long is closed. */
constexpr std::chrono::seconds StalledWriteTimeout(60);
constexpr Duration ArrivalRetryAfter = std::chrono::milliseconds(300);

bool hasNoBody(unsigned status)
{
    constexpr unsigned NoContent = 204;
    constexpr unsigned NotModified = 304;
    return status == NoContent || status == NotModified;
}

} // namespace

RelayConnection::RelayConnection(Socket socket, RelayConnectionOwner &owner)
    : socket_(std::move(socket))
    , owner_(owner)
    , output_(socket_, [this](bool succeeded) { written(succeeded); })
    , phaseStart_(std::chrono::steady_clock::now())
    , idleLimit_(owner.limits().idleTimeout)
{
    boost::system::error_code ignored;
    socket_.non_blocking(true, ignored);
    socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket_.set_option(boost::asio::socket_base::send_buffer_size(SendBufferBytes), ignored);
}

void RelayConnection::start()
{
    read();
}

void RelayConnection::begin(const RelayResponse &response)
{
    std::string &head = output_.pending();
    head.append("HTTP/1.1 ").append(std::to_string(response.status)).append(" ").append(response.reason).append("\r\n");
    for (const http::fields::value_type &field : response.fields) {
        head.append(field.name_string()).append(": ").append(field.value()).append("\r\n");
    }
    chunked_ = false;
    if (response.length.has_value()) {
        head.append("Content-Length: ").append(std::to_string(*response.length)).append("\r\n");
    } else if (!hasNoBody(response.status) && !headRequest_) {
        chunked_ = true;
        head.append("Transfer-Encoding: chunked\r\n");
    }
    keepAlive_ = keepAlive_ && !owner_.isClosing();
    if (!keepAlive_) {
        head.append("Connection: close\r\n");
    }
    head.append("\r\n");
}

void RelayConnection::append(std::string_view bytes)
{
    if (headRequest_ || bytes.empty()) {
        return;
    }
    std::string &pending = output_.pending();
    if (chunked_) {
        char size[20];
        const std::to_chars_result text = std::to_chars(size, size + sizeof size, bytes.size(), 16);
        pending.append(size, text.ptr).append("\r\n").append(bytes).append("\r\n");
    } else {
        pending.append(bytes);
    }
    flush();
    checkBacklog();
}

void RelayConnection::finish()
{
    if (chunked_) {
        output_.pending().append("0\r\n\r\n");
    }
    endResponse();
}

void RelayConnection::refuse(const Error &error, Outcome outcome)
{
    writeError(error, outcome, keepAlive_ && !owner_.isClosing());
    endResponse();
}

void RelayConnection::writeError(const Error &error, Outcome outcome, bool keepAlive)
{
    keepAlive_ = keepAlive;
    const std::string body = formatErrorBody(error, outcome);
    RelayResponse response;
    response.status = httpStatusFor(error.code);
    response.reason = std::string(http::obsolete_reason(http::int_to_status(response.status)));
    response.fields.set(http::field::content_type, "application/json");
    owner_.codec().addErrorFields(response.fields, error);
    response.length = body.size();
    begin(response);
    if (!headRequest_) {
        output_.pending().append(body);
    }
}

void RelayConnection::close()
{
    if (phase_ == Phase::Closed) {
        return;
    }
    phase_ = Phase::Closed;
    releaseInput();
    boost::system::error_code ignored;
    socket_.close(ignored);
}

void RelayConnection::closeIfIdle()
{
    if (phase_ != Phase::Idle || output_.unsent() != 0 || input_.size() != 0 || hasUnreadInput()) {
        return;
    }
    // Only the pending read is cancelled, so that what arrives before its handler runs is not lost; the connection
    // closes there.
    boost::system::error_code ignored;
    socket_.cancel(ignored);
}

bool RelayConnection::isDrained() const
{
    return (phase_ == Phase::Closing || phase_ == Phase::Closed) && output_.unsent() == 0;
}

bool RelayConnection::hasUnreportedInput() const
{
    return phase_ == Phase::Reading || (phase_ == Phase::Idle && (input_.size() != 0 || hasUnreadInput()));
}

void RelayConnection::checkTimeouts(std::chrono::steady_clock::time_point now)
{
    const std::chrono::steady_clock::duration passed = now - phaseStart_;
    switch (phase_) {
    case Phase::Idle:
        if (passed > std::max(idleLimit_, owner_.limits().idleTimeout)) {
            closeIfIdle();
        }
        break;
    case Phase::Reading:
        if (passed > owner_.limits().headerTimeout
            && (!parser_->headerComplete() || passed > owner_.limits().headerTimeout + BodyTimeout)
            && !hasUnreadInput()) {
            rejectInput(Error { ResultCode::RequestTimeout, "The request did not arrive completely in time.", {} });
        }
        break;
    case Phase::Responding:
        if (backlogged_ && passed > StalledWriteTimeout) {
            handleCallerGone();
        }
        break;
    case Phase::Closing:
        if (passed > (output_.unsent() == 0 ? LingerTimeout : StalledWriteTimeout)) {
            handleCallerGone();
        }
        break;
    case Phase::Closed:
        break;
    }
}

bool RelayConnection::hasUnreadInput() const
{
    boost::system::error_code error;
    return socket_.available(error) != 0 && !error;
}

void RelayConnection::read()
{
    if (readPending_ || phase_ == Phase::Closed
        || input_.size() >= MaxPipelinedBytes + owner_.limits().maxHeaderBytes) {
        return;
    }
    readPending_ = true;
    socket_.async_read_some(boost::asio::buffer(chunk_),
                            [self = shared_from_this()](const boost::system::error_code &error, std::size_t bytes) {
                                self->received(error, bytes);
                            });
}

void RelayConnection::received(const boost::system::error_code &error, std::size_t bytes)
{
    readPending_ = false;
    if (phase_ == Phase::Closed) {
        return;
    }
    const bool isCancelled = error == boost::asio::error::operation_aborted;
    if (isCancelled && hasUnreadInput()) {
        read();
        return;
    }
    if (error) {
        handleCallerGone();
        return;
    }
    if (phase_ == Phase::Closing) {
        discardedBytes_ += bytes;
        if (discardedBytes_ > MaxDiscardedBytes) {
            handleCallerGone();
            return;
        }
        read();
        return;
    }
    input_.commit(boost::asio::buffer_copy(input_.prepare(bytes), boost::asio::buffer(chunk_, bytes)));
    if (phase_ != Phase::Responding) {
        parse(bytes);
    }
    read();
}

void RelayConnection::parse(std::size_t newBytes)
{
    if (phase_ == Phase::Idle) {
        phase_ = Phase::Reading;
        phaseStart_ = std::chrono::steady_clock::now();
        parser_.emplace(owner_.limits().maxHeaderBytes, owner_.limits().maxBodyBytes);
        digest_.emplace();
    }
    if (!owner_.reserveInput(newBytes)) {
        rejectInput(Error { ResultCode::QueueFull, "Too many requests are arriving.", ArrivalRetryAfter });
        return;
    }
    reservedInputBytes_ += newBytes;
    const std::optional<Error> error = parser_->feed(input_);
    if (error.has_value()) {
        rejectInput(*error);
        return;
    }
    digest_->update(parser_->receivedBody().substr(digest_->bodyBytes()));
    if (parser_->complete()) {
        dispatchCall();
        return;
    }
    if (parser_->takeExpectContinue()) {
        output_.pending().append("HTTP/1.1 100 Continue\r\n\r\n");
        flush();
    }
}

void RelayConnection::dispatchCall()
{
    request_ = owner_.nextRequest();
    keepAlive_ = parser_->keepAlive();
    RequestParser::Message message = parser_->release();
    parser_.reset();
    if (input_.size() == 0) {
        input_.clear();
        input_.shrink_to_fit();
    }
    const std::shared_ptr<RelayCall> call = std::make_shared<RelayCall>();
    call->attributes.request = request_;
    call->method = std::string(message.method_string());
    call->target = std::string(message.target());
    call->body = std::move(message.body());
    call->fields = std::move(message.base());
    removeHopByHopFields(call->fields);
    headRequest_ = call->method == "HEAD";
    const std::optional<Error> fault = owner_.codec().decodeRequest(*call);
    if (fault.has_value()) {
        rejectInput(*fault);
        return;
    }
    call->attributes.prompt.fingerprint = digest_->finish(*call);
    phase_ = Phase::Responding;
    phaseStart_ = std::chrono::steady_clock::now();
    owner_.requestOpened(request_, shared_from_this());
    owner_.observer().callArrived(call);
}

void RelayConnection::rejectInput(const Error &error)
{
    releaseInput();
    parser_.reset();
    owner_.observer().inputRejected(error);
    headRequest_ = false;
    writeError(error, Outcome::NotRun, false);
    beginClosing();
    flush();
    shutDownSendIfFlushed();
}

void RelayConnection::flush()
{
    output_.flush(shared_from_this());
}

void RelayConnection::checkBacklog()
{
    const std::size_t unsent = output_.unsent();
    const bool changed = backlogged_ ? unsent <= BacklogThresholdBytes / 2 : unsent > BacklogThresholdBytes;
    if (!changed) {
        return;
    }
    backlogged_ = !backlogged_;
    phaseStart_ = std::chrono::steady_clock::now();
    // Deferred, since the observer must not be called back from within a command.
    boost::asio::post(socket_.get_executor(),
                      [self = shared_from_this(), request = request_, backlogged = backlogged_] {
                          if (self->phase_ == Phase::Responding && self->request_ == request) {
                              self->owner_.observer().callerBacklog(request, backlogged);
                          }
                      });
}

void RelayConnection::endResponse()
{
    owner_.requestClosed(request_);
    releaseInput();
    backlogged_ = false;
    if (!keepAlive_) {
        beginClosing();
        flush();
        shutDownSendIfFlushed();
        return;
    }
    phase_ = Phase::Idle;
    phaseStart_ = std::chrono::steady_clock::now();
    idleLimit_ = owner_.limits().idleTimeout;
    flush();
    if (input_.size() == 0) {
        return;
    }
    // Deferred, since a new request must not be reported from within a command.
    boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
        if (self->phase_ == Phase::Idle && self->input_.size() != 0) {
            self->parse(self->input_.size());
            self->read();
        }
    });
}

void RelayConnection::beginClosing()
{
    phase_ = Phase::Closing;
    phaseStart_ = std::chrono::steady_clock::now();
    input_.clear();
}

void RelayConnection::shutDownSendIfFlushed()
{
    if (output_.unsent() == 0 && phase_ == Phase::Closing) {
        boost::system::error_code ignored;
        socket_.shutdown(Socket::shutdown_send, ignored);
    }
}

void RelayConnection::written(bool succeeded)
{
    if (phase_ == Phase::Closed) {
        return;
    }
    if (!succeeded) {
        handleCallerGone();
        return;
    }
    if (phase_ == Phase::Responding) {
        checkBacklog();
    }
    if (phase_ == Phase::Closing) {
        phaseStart_ = std::chrono::steady_clock::now();
    }
    shutDownSendIfFlushed();
}

void RelayConnection::handleCallerGone()
{
    if (phase_ == Phase::Closed) {
        return;
    }
    const bool answering = phase_ == Phase::Responding;
    const std::shared_ptr<RelayConnection> self = shared_from_this();
    close();
    if (answering) {
        owner_.requestClosed(request_);
    }
    owner_.connectionClosed(self);
    if (answering) {
        owner_.observer().callerGone(request_);
    }
}

void RelayConnection::releaseInput()
{
    owner_.releaseInput(reservedInputBytes_);
    reservedInputBytes_ = 0;
}

} // namespace GeraniumLever
