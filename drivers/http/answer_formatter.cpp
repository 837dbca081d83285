#include "drivers/http/answer_formatter.h"

#include <string_view>
#include <utility>

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>

#include "drivers/http/error_body.h"

namespace GeraniumLever {

namespace {

namespace http = boost::beast::http;

/** Limit of the body bytes that are buffered so that the answer can get a Content-Length or be replaced by an error. */
constexpr std::size_t MaxBufferedBytes = 64 * 1024;
constexpr unsigned Http11 = 11;
constexpr unsigned StatusNoContent = 204;
constexpr unsigned StatusNotModified = 304;

template<class Buffers>
void appendBuffers(const Buffers &buffers, std::string &output)
{
    for (const boost::asio::const_buffer buffer : boost::beast::buffers_range_ref(buffers)) {
        output.append(static_cast<const char *>(buffer.data()), buffer.size());
    }
}

void appendChunk(std::string_view bytes, std::string &output)
{
    if (!bytes.empty()) {
        appendBuffers(http::make_chunk(boost::asio::const_buffer(bytes.data(), bytes.size())), output);
    }
}

void appendLastChunk(std::string &output)
{
    appendBuffers(http::make_chunk_last(), output);
}

/** Formats one server-sent event; data with line breaks takes several "data" lines. */
std::string formatEvent(std::string_view data)
{
    std::string event;
    event.reserve(data.size() + std::string_view("data: \n\n").size());
    std::size_t begin = 0;
    while (begin <= data.size()) {
        std::size_t end = data.find('\n', begin);
        end = end == std::string_view::npos ? data.size() : end;
        event.append("data: ").append(data.substr(begin, end - begin)).append("\n");
        begin = end + 1;
    }
    event.append("\n");
    return event;
}

bool hasNoBody(unsigned status)
{
    return status == StatusNoContent || status == StatusNotModified;
}

void appendHeader(http::response<http::empty_body> &message, std::string &output)
{
    http::response_serializer<http::empty_body> serializer(message);
    serializer.split(true);
    boost::system::error_code error;
    serializer.next(error,
                    [&output](boost::system::error_code &, const auto &buffers) { appendBuffers(buffers, output); });
}

} // namespace

AnswerFormatter::AnswerFormatter(AnswerOptions options) : options_(options) { }

void AnswerFormatter::announceClose()
{
    if (!headWritten_) {
        options_.keepAlive = false;
    }
}

void AnswerFormatter::formatHead(const ReplyHead &head, std::string &output)
{
    if (head_.has_value() || finished_) {
        return;
    }
    head_ = head;
    if (head.streamed) {
        writeHead(std::nullopt, output);
    }
}

void AnswerFormatter::formatData(const ReplyData &data, std::string &output)
{
    if (!head_.has_value() || finished_ || options_.withoutBody) {
        return;
    }
    if (head_->streamed) {
        appendChunk(formatEvent(data.data), output);
        return;
    }
    if (headWritten_) {
        appendChunk(data.data, output);
        return;
    }
    bufferedBody_.append(data.data);
    if (bufferedBody_.size() > MaxBufferedBytes && !hasNoBody(head_->status)) {
        writeHead(std::nullopt, output);
        appendChunk(bufferedBody_, output);
        bufferedBody_ = std::string();
    }
}

void AnswerFormatter::formatEnd(std::string &output)
{
    if (!head_.has_value() || finished_) {
        return;
    }
    finished_ = true;
    if (!headWritten_) {
        writeCompleteAnswer(output);
        return;
    }
    if (!options_.withoutBody) {
        appendLastChunk(output);
    }
}

void AnswerFormatter::formatError(const ReplyError &error, std::string &output)
{
    if (finished_) {
        return;
    }
    finished_ = true;
    if (headWritten_) {
        // Without the last chunk, the caller can never take what it has received for a complete answer.
        options_.keepAlive = false;
        if (head_->streamed && !options_.withoutBody) {
            appendChunk(formatEvent(formatErrorBody(error.error, error.outcome)), output);
        }
        return;
    }
    head_ = ReplyHead { options_.request,      httpStatusFor(error.error.code),
                        "application/json",    false,
                        error.outcome,         false,
                        error.error.retryAfter };
    bufferedBody_ = formatErrorBody(error.error, error.outcome);
    writeCompleteAnswer(output);
}

void AnswerFormatter::writeHead(std::optional<std::size_t> contentLength, std::string &output)
{
    headWritten_ = true;
    http::response<http::empty_body> message;
    message.version(Http11);
    message.result(head_->status);
    message.set("Geranium-Request-Id", options_.request.text());
    if (!head_->contentType.empty() || head_->streamed) {
        message.set(http::field::content_type, head_->streamed ? std::string("text/event-stream") : head_->contentType);
    }
    if (head_->streamed) {
        message.set(http::field::cache_control, "no-cache");
    }
    if (head_->outcome.has_value() && !head_->streamed) {
        message.set("Geranium-Outcome", outcomeName(*head_->outcome));
    }
    if (head_->replayed) {
        message.set("Geranium-Replayed", "true");
    }
    if (head_->retryAfter.has_value()) {
        message.set(http::field::retry_after, formatRetryAfter(*head_->retryAfter));
    }
    message.keep_alive(options_.keepAlive);
    if (contentLength.has_value()) {
        message.content_length(*contentLength);
    } else if (!hasNoBody(head_->status)) {
        message.chunked(true);
    }
    appendHeader(message, output);
}

void AnswerFormatter::writeCompleteAnswer(std::string &output)
{
    if (hasNoBody(head_->status)) {
        writeHead(std::nullopt, output);
        return;
    }
    writeHead(bufferedBody_.size(), output);
    if (!options_.withoutBody) {
        output.append(bufferedBody_);
    }
    bufferedBody_ = std::string();
}

} // namespace GeraniumLever
