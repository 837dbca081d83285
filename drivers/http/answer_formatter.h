/** Formats one answer to a caller as HTTP/1.1. */
#pragma once

#include <optional>
#include <string>

#include "core/core.h"

namespace GeraniumLever {

/** Properties of the request and of the listener that determine how the answer is formatted. */
struct AnswerOptions
{
    RequestId request;
    /** True for a HEAD request. */
    bool withoutBody = false;
    /** False if the connection is closed after the answer. */
    bool keepAlive = true;

    auto operator<=>(const AnswerOptions &) const = default;
};

/** Turns reply commands into HTTP/1.1. An answer that is not streamed is buffered until it is complete or large, so
 * that an error which occurs before then can still replace it. */
class AnswerFormatter
{
public:
    explicit AnswerFormatter(AnswerOptions options);

    /** Each function appends the bytes that can be sent now to output. Commands out of order are ignored. */
    void formatHead(const ReplyHead &head, std::string &output);
    void formatData(const ReplyData &data, std::string &output);
    void formatEnd(std::string &output);
    void formatError(const ReplyError &error, std::string &output);

    /** True if the last byte of the answer has been formatted. */
    bool finished() const { return finished_; }

    /** True if the connection must be closed after the answer; set no later than finished(). */
    bool mustClose() const { return !options_.keepAlive; }

    /** Makes the answer announce that the connection will be closed; has no effect once the head has been formatted. */
    void announceClose();

private:
    void writeHead(std::optional<std::size_t> contentLength, std::string &output);
    void writeCompleteAnswer(std::string &output);

    AnswerOptions options_;
    std::optional<ReplyHead> head_;
    std::string bufferedBody_;
    bool headWritten_ = false;
    bool finished_ = false;
};

} // namespace GeraniumLever
