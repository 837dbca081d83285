/** Parsing of one caller's request. */
#pragma once

#include <optional>

#include "core/core.h"
#include "drivers/http/caller_server.h"
#include "drivers/http/request_parser.h"

namespace GeraniumLever {

/** Takes received bytes until a request is whole or cannot be accepted. */
class CallerRequestReader
{
public:
    /** The settings must outlive the reader. */
    explicit CallerRequestReader(const CallerServerSettings &settings);

    /** Consumes bytes from input. Returns the error for which the request is to be refused, if any. */
    std::optional<Error> feed(boost::beast::flat_buffer &input) { return parser_.feed(input); }

    bool complete() const { return parser_.complete(); }

    /** The header has arrived, and the caller waits for "100 Continue" before it sends the body. True only once. */
    bool takeExpectation() { return parser_.takeExpectation(); }

    /** Both require complete(). */
    bool keepAlive() const { return parser_.keepAlive(); }
    Result<CallerRequest> take(const RequestId &request);

private:
    const CallerServerSettings &settings_;
    RequestParser parser_;
};

} // namespace GeraniumLever
