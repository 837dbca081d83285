/** Parsing of the responses that arrive on a connection which this program has opened. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include "drivers/http/append_body.h"
#include "drivers/http/head_line_checker.h"

namespace GeraniumLever {

/** Parses received bytes until a response is complete or has to be rejected. Every client reads responses through it,
 * so that what a response may look like is decided here only. Informational responses are skipped. */
class ResponseParser
{
public:
    using Head = boost::beast::http::response_header<>;

    /** headRequest: true if the request's method is HEAD, so that no body follows. maxBodyBytes: absent for no limit.
     */
    explicit ResponseParser(bool headRequest, std::optional<std::uint64_t> maxBodyBytes = std::nullopt);

    /** Consumes bytes from input, but none after the response. Returns why the response must be rejected, if it must;
     *  the connection must not be used any more then. */
    std::optional<std::string> feed(boost::beast::flat_buffer &input);

    bool headComplete() const { return headComplete_; }
    bool complete() const { return headComplete_ && parser_->is_done(); }

    /** The functions below require headComplete(). */

    /** Status and fields, without those of a trailer. */
    const Head &head() const { return head_; }
    unsigned status() const { return head_.result_int(); }

    bool isChunked() const { return parser_->chunked(); }

    /** True if the body has neither a length nor chunks. It is complete if the peer closes the connection gracefully.
     */
    bool endsWithConnection() const { return parser_->need_eof(); }

    /** Number of bytes of the body that have not arrived yet; absent if the response states no length. */
    std::optional<std::uint64_t> missingBodyBytes() const;

    /** True if the connection may be used again once the response is complete. */
    bool keepAlive() const { return parser_->keep_alive(); }

    /** Returns the part of the body that has arrived since the last call. */
    std::string takeBody();

private:
    using Parser = boost::beast::http::response_parser<AppendBody>;

    void reset();
    /** The functions below return why the response must be rejected, if it must. arrived: bytes that the parser has not
     *  consumed. */
    std::optional<std::string> checkLines(std::string_view arrived);
    std::optional<std::string> finishHead();
    std::optional<std::string> skipInformationalResponse();
    std::optional<std::string> checkStatus() const;
    std::optional<std::string> checkFraming() const;

    bool headRequest_;
    std::optional<std::uint64_t> maxBodyBytes_;
    std::optional<Parser> parser_;
    Head head_;
    bool headComplete_ = false;
    HeadLineChecker lines_;
    /** Size of the part of the current head that the parser has consumed. */
    std::size_t consumedBytes_ = 0;
    unsigned informationalResponses_ = 0;
    std::size_t informationalBytes_ = 0;
};

} // namespace GeraniumLever
