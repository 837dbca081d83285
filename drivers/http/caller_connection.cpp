#include "drivers/http/caller_connection.h"

#include <utility>

#include <boost/asio/post.hpp>

namespace GeraniumLever {

namespace {

/** Limit of the pipelined input that is buffered while a request is being answered. */
constexpr std::size_t MaxPipelinedBytes = 16 * 1024;
/** Unsent bytes of a stream above which the connection is closed, whatever was done about the backlog reports. */
constexpr std::size_t MaxUnsentBytes = 4 * 1024 * 1024;
/** A closing connection still reads and discards this much input: closing with unread input resets the connection,
 *  and the peer could see the reset before it has read the answer. */
constexpr std::size_t MaxDroppedBytes = 1024 * 1024;
/** Limits the send buffer of the operating system for a caller that reads slowly; by default it grows to megabytes. */
constexpr int SendBufferBytes = 64 * 1024;
constexpr Duration ArrivalRetryAfter = std::chrono::seconds(1);
constexpr Duration LingerTime = std::chrono::seconds(2);
/** Time to read input that was found unread when a time limit ended. */
constexpr Duration UnreadInputGrace = std::chrono::milliseconds(10);

} // namespace

CallerConnection::CallerConnection(boost::asio::io_context &context, Socket socket, CallerConnectionOwner &owner)
    : context_(context)
    , socket_(std::move(socket))
    , owner_(owner)
    , timer_(context)
    , output_(socket_, [this](bool succeeded) { written(succeeded); })
{
    boost::system::error_code ignored;
    socket_.non_blocking(true, ignored);
}

void CallerConnection::start()
{
    boost::system::error_code ignored;
    socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket_.set_option(boost::asio::socket_base::send_buffer_size(SendBufferBytes), ignored);
    armTimer(owner_.settings().idleTimeout);
    read();
}

void CallerConnection::refuse(const Error &error)
{
    answerInputError(error);
    read();
}

void CallerConnection::reply(const ReplyHead &head)
{
    if (owner_.draining()) {
        answer_->announceClose();
    }
    answer_->formatHead(head, output_.pending());
    afterReply();
}

void CallerConnection::reply(const ReplyData &data)
{
    answer_->formatData(data, output_.pending());
    afterReply();
}

void CallerConnection::reply(const ReplyEnd &)
{
    answer_->formatEnd(output_.pending());
    afterReply();
}

void CallerConnection::reply(const ReplyError &error)
{
    if (owner_.draining()) {
        answer_->announceClose();
    }
    answer_->formatError(error, output_.pending());
    afterReply();
}

void CallerConnection::close()
{
    if (phase_ == Phase::Closed) {
        return;
    }
    phase_ = Phase::Closed;
    releaseInput();
    timer_.cancel();
    boost::system::error_code ignored;
    socket_.close(ignored);
}

void CallerConnection::read()
{
    if (readPending_ || phase_ == Phase::Closed
        || input_.size() >= MaxPipelinedBytes + owner_.settings().maxHeaderBytes) {
        return;
    }
    readPending_ = true;
    socket_.async_read_some(boost::asio::buffer(readBuffer_),
                            [self = shared_from_this()](const boost::system::error_code &error, std::size_t bytes) {
                                self->received(error, bytes);
                            });
}

void CallerConnection::received(const boost::system::error_code &error, std::size_t bytes)
{
    readPending_ = false;
    if (phase_ == Phase::Closed) {
        return;
    }
    if (error) {
        handleCallerGone();
        return;
    }
    if (phase_ == Phase::Closing) {
        droppedBytes_ += bytes;
        if (droppedBytes_ > MaxDroppedBytes) {
            handleCallerGone();
            return;
        }
        read();
        return;
    }
    input_.commit(boost::asio::buffer_copy(input_.prepare(bytes), boost::asio::buffer(readBuffer_, bytes)));
    if (phase_ == Phase::Reading || (phase_ == Phase::Idle && !awaitingOutput_)) {
        parse(bytes);
    }
    read();
}

void CallerConnection::parse(std::size_t newBytes)
{
    if (phase_ == Phase::Idle) {
        phase_ = Phase::Reading;
        reader_.emplace(owner_.settings());
        armTimer(owner_.settings().requestTimeout);
    }
    if (!owner_.reserveInput(newBytes)) {
        answerInputError(
            Error { ResultCode::QueueFull, "Too many bytes of incomplete requests are buffered.", ArrivalRetryAfter });
        return;
    }
    partialBytes_ += newBytes;
    const std::optional<Error> error = reader_->feed(input_);
    if (error.has_value()) {
        answerInputError(*error);
        return;
    }
    if (reader_->complete()) {
        dispatchCall();
        return;
    }
    if (reader_->takeExpectContinue()) {
        output_.pending().append("HTTP/1.1 100 Continue\r\n\r\n");
        output_.flush(shared_from_this());
    }
}

void CallerConnection::releaseInput()
{
    owner_.releaseInput(partialBytes_);
    partialBytes_ = 0;
}

void CallerConnection::dispatchCall()
{
    releaseInput();
    request_ = owner_.nextRequest();
    const bool keepAlive = reader_->keepAlive();
    Result<CallerRequest> request = reader_->take(request_);
    reader_.reset();
    if (input_.size() == 0) {
        input_.clear();
        input_.shrink_to_fit();
    }
    if (!succeeded(request)) {
        answerInputError(errorOf(request));
        return;
    }
    const bool withoutBody = valueOf(request).method == "HEAD";
    answer_.emplace(AnswerOptions { request_, withoutBody, keepAlive });
    phase_ = Phase::Answering;
    lastWrite_ = std::chrono::steady_clock::now();
    armTimer(owner_.settings().idleTimeout);
    owner_.requestOpened(request_, shared_from_this());
    owner_.report(std::move(std::get<CallerRequest>(request)));
}

void CallerConnection::afterReply()
{
    if (output_.unsent() == output_.pending().size()) {
        lastWrite_ = std::chrono::steady_clock::now();
    }
    output_.flush(shared_from_this());
    if (answer_->finished()) {
        finishAnswer();
        return;
    }
    checkBacklog();
}

void CallerConnection::checkBacklog()
{
    const std::size_t unsent = output_.unsent();
    const std::size_t limit = owner_.settings().backlogBytes;
    const bool overLimit = unsent > limit;
    const bool caughtUp = unsent <= limit / 2;
    if (unsent > MaxUnsentBytes) {
        boost::asio::post(context_, [self = shared_from_this()] { self->handleCallerGone(); });
        return;
    }
    if (backlogged_ ? !caughtUp : !overLimit) {
        return;
    }
    backlogged_ = overLimit;
    // Posted, so that nothing is reported from within a reply command.
    boost::asio::post(context_, [self = shared_from_this(), request = request_, backlogged = backlogged_] {
        if (self->phase_ == Phase::Answering && self->request_ == request) {
            self->owner_.report(CallerBacklog { request, backlogged });
        }
    });
}

void CallerConnection::finishAnswer()
{
    owner_.requestClosed(request_);
    backlogged_ = false;
    const bool mustClose = answer_->mustClose();
    answer_.reset();
    if (mustClose) {
        beginClosing();
        return;
    }
    phase_ = Phase::Idle;
    armTimer(owner_.settings().idleTimeout);
    awaitingOutput_ = true;
    boost::asio::post(context_, [self = shared_from_this()] { self->continueAfterAnswer(); });
}

void CallerConnection::continueAfterAnswer()
{
    if (!awaitingOutput_ || phase_ != Phase::Idle || output_.unsent() > owner_.settings().backlogBytes) {
        return;
    }
    awaitingOutput_ = false;
    if (input_.size() != 0) {
        parse(input_.size());
    }
    read();
}

void CallerConnection::answerInputError(const Error &error)
{
    releaseInput();
    reader_.reset();
    AnswerFormatter formatter(AnswerOptions { owner_.nextRequest(), false, false });
    formatter.formatError(ReplyError { RequestId(), error, Outcome::NotRun }, output_.pending());
    output_.flush(shared_from_this());
    beginClosing();
}

void CallerConnection::beginClosing()
{
    phase_ = Phase::Closing;
    input_.clear();
    armTimer(owner_.settings().idleTimeout);
    lingerIfWritten();
}

void CallerConnection::lingerIfWritten()
{
    if (output_.unsent() != 0) {
        return;
    }
    boost::system::error_code ignored;
    socket_.shutdown(Socket::shutdown_send, ignored);
    armTimer(LingerTime);
}

void CallerConnection::written(bool succeeded)
{
    if (phase_ == Phase::Closed) {
        return;
    }
    if (!succeeded) {
        handleCallerGone();
        return;
    }
    lastWrite_ = std::chrono::steady_clock::now();
    switch (phase_) {
    case Phase::Answering:
        checkBacklog();
        break;
    case Phase::Closing:
        lingerIfWritten();
        break;
    default:
        continueAfterAnswer();
        break;
    }
}

void CallerConnection::handleCallerGone()
{
    if (phase_ == Phase::Closed) {
        return;
    }
    const bool answering = phase_ == Phase::Answering;
    const std::shared_ptr<CallerConnection> self = shared_from_this();
    close();
    if (answering) {
        owner_.requestClosed(request_);
    }
    owner_.connectionClosed(self);
    if (answering) {
        owner_.report(CallerGone { request_ });
    }
}

void CallerConnection::armTimer(Duration duration)
{
    timer_.expires_after(duration);
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error && self->phase_ != Phase::Closed && self->timer_.expiry() <= std::chrono::steady_clock::now()) {
            self->timerExpired();
        }
    });
}

bool CallerConnection::hasUnreadInput() const
{
    boost::system::error_code error;
    return readPending_ && socket_.available(error) != 0 && !error;
}

void CallerConnection::timerExpired()
{
    if ((phase_ == Phase::Idle || phase_ == Phase::Reading) && hasUnreadInput()) {
        armTimer(UnreadInputGrace);
        return;
    }
    if (phase_ == Phase::Reading) {
        answerInputError(Error { ResultCode::RequestTimeout, "The request was not received completely in time.", {} });
        return;
    }
    const Duration idleTimeout = owner_.settings().idleTimeout;
    const bool stalled = output_.unsent() != 0 && lastWrite_ + idleTimeout <= std::chrono::steady_clock::now();
    if (phase_ == Phase::Answering && !stalled) {
        armTimer(idleTimeout);
        return;
    }
    handleCallerGone();
}

} // namespace GeraniumLever
