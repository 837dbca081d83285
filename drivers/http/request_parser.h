/** Parsing of one HTTP/1.1 request whose body is taken whole. */
#pragma once

#include <optional>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include "core/core.h"
#include "drivers/http/append_body.h"

namespace GeraniumLever {

/** Takes received bytes until a request is whole or cannot be accepted. Requests that two programs could read
 *  differently are not accepted. */
class RequestParser
{
public:
    using Message = boost::beast::http::request<AppendBody>;

    RequestParser(std::size_t maxHeaderBytes, std::size_t maxBodyBytes);

    /** Consumes bytes from input. Returns the error for which the request is to be refused, if any. */
    std::optional<Error> feed(boost::beast::flat_buffer &input);

    bool headerComplete() const { return parser_.is_header_done(); }
    bool complete() const { return parser_.is_done(); }

    /** The header has arrived, and the caller waits for "100 Continue" before it sends the body. True only once. */
    bool takeExpectation();

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
