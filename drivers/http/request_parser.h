/** Parsing of one HTTP/1.1 request, including its complete body. */
#pragma once

#include <optional>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include "core/core.h"
#include "drivers/http/append_body.h"

namespace GeraniumLever {

/** Parses received bytes until a request is complete or has to be refused. Requests with ambiguous framing, which two
 *  HTTP implementations could read differently (request smuggling), are refused. */
class RequestParser
{
public:
    using Message = boost::beast::http::request<AppendBody>;

    RequestParser(std::size_t maxHeaderBytes, std::size_t maxBodyBytes);

    /** Consumes bytes from input. Returns the error with which the request must be refused, if any. */
    std::optional<Error> feed(boost::beast::flat_buffer &input);

    bool headerComplete() const { return parser_.is_header_done(); }
    bool complete() const { return parser_.is_done(); }

    /** The part of the body that has arrived. */
    std::string_view receivedBody() const { return parser_.get().body(); }

    /** True if the header has arrived and the caller waits for "100 Continue" before it sends the body; true only once.
     */
    bool takeExpectContinue();

    /** Both require complete(). */
    bool keepAlive() const { return parser_.keep_alive(); }
    Message release() { return parser_.release(); }

private:
    Error errorFor(const boost::system::error_code &error) const;
    std::optional<Error> checkFraming();

    std::size_t maxHeaderBytes_;
    std::size_t maxBodyBytes_;
    boost::beast::http::request_parser<AppendBody> parser_;
    bool framingChecked_ = false;
    bool expectationTaken_ = false;
};

} // namespace GeraniumLever
