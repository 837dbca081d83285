/** Parsing of one caller's request. */
#pragma once

#include <optional>

#include "core/core.h"
#include "drivers/http/caller_server.h"
#include "drivers/http/request_parser.h"

namespace GeraniumLever {

/** Parses received bytes until a request is complete or has to be refused. */
class CallerRequestReader
{
public:
    /** The settings must outlive the reader. */
    explicit CallerRequestReader(const CallerServerSettings &settings);

    /** Consumes bytes from input. Returns the error with which the request must be refused, if any. */
    std::optional<Error> feed(boost::beast::flat_buffer &input) { return parser_.feed(input); }

    bool complete() const { return parser_.complete(); }

    /** True if the header has arrived and the caller waits for "100 Continue" before it sends the body; true only once.
     */
    bool takeExpectContinue() { return parser_.takeExpectContinue(); }

    /** Both require complete(). */
    bool keepAlive() const { return parser_.keepAlive(); }
    Result<CallerRequest> take(const RequestId &request);

private:
    const CallerServerSettings &settings_;
    RequestParser parser_;
};

} // namespace GeraniumLever
