/** The bytes of one answer to a caller. */
#pragma once

#include <optional>
#include <string>

#include "core/core.h"

namespace GeraniumLever {

/** What of the request and of the listener bears on the form of its answer. */
struct AnswerTerms
{
    RequestId request;
    /** True for a HEAD request. */
    bool withoutBody = false;
    /** False if the connection is closed after the answer. */
    bool keepAlive = true;

    auto operator<=>(const AnswerTerms &) const = default;
};

/** Turns reply commands into HTTP/1.1. An answer that is not streamed is held until it is whole or large, so that an
 *  error which comes first can still take its place. */
class AnswerFormatter
{
public:
    explicit AnswerFormatter(AnswerTerms terms);

    /** Each appends the bytes that can be sent to output. Commands out of order are ignored. */
    void takeHead(const ReplyHead &head, std::string &output);
    void takeData(const ReplyData &data, std::string &output);
    void takeEnd(std::string &output);
    void takeError(const ReplyError &error, std::string &output);

    /** The last byte of the answer has been formatted. */
    bool finished() const { return finished_; }

    /** The connection must be closed after the answer; set no later than finished(). */
    bool mustClose() const { return !terms_.keepAlive; }

    /** A later answer on this connection is to announce its end; has no effect once the head was formatted. */
    void announceClose();

private:
    void writeHead(std::optional<std::size_t> contentLength, std::string &output);
    void writeWhole(std::string &output);

    AnswerTerms terms_;
    std::optional<ReplyHead> head_;
    std::string held_;
    bool headWritten_ = false;
    bool finished_ = false;
};

} // namespace GeraniumLever
