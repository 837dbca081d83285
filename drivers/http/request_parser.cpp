#include "drivers/http/request_parser.h"

#include <utility>

#include <boost/beast/core/string.hpp>

namespace GeraniumLever {

namespace {

namespace http = boost::beast::http;

constexpr unsigned Http11 = 11;

Error malformed(std::string message)
{
    return Error { ResultCode::MalformedRequest, std::move(message), {} };
}

} // namespace

RequestParser::RequestParser(std::size_t maxHeaderBytes, std::size_t maxBodyBytes)
    : maxHeaderBytes_(maxHeaderBytes), maxBodyBytes_(maxBodyBytes)
{
    parser_.eager(true);
    parser_.header_limit(static_cast<std::uint32_t>(maxHeaderBytes));
    parser_.body_limit(maxBodyBytes);
}

std::optional<Error> RequestParser::feed(boost::beast::flat_buffer &input)
{
    while (input.size() != 0 && !parser_.is_done()) {
        boost::system::error_code error;
        const std::size_t used = parser_.put(input.data(), error);
        input.consume(used);
        if (error && error != http::error::need_more) {
            return errorFor(error);
        }
        if (parser_.is_header_done() && !framingChecked_) {
            framingChecked_ = true;
            std::optional<Error> framingError = checkFraming();
            if (framingError.has_value()) {
                return framingError;
            }
        }
        if (error || used == 0) {
            break;
        }
    }
    if (!parser_.is_header_done() && input.size() > maxHeaderBytes_) {
        return errorFor(http::error::header_limit);
    }
    return std::nullopt;
}

bool RequestParser::takeExpectContinue()
{
    if (expectationTaken_ || !parser_.is_header_done() || parser_.is_done()) {
        return false;
    }
    expectationTaken_ = true;
    return boost::beast::iequals(parser_.get()[http::field::expect], "100-continue");
}

std::optional<Error> RequestParser::checkFraming()
{
    const http::request<AppendBody> &message = parser_.get();
    if (message.version() != Http11) {
        return malformed("Only HTTP/1.1 is accepted.");
    }
    if (message.count(http::field::host) != 1) {
        return malformed("There must be exactly one Host field.");
    }
    const std::size_t encodings = message.count(http::field::transfer_encoding);
    if (encodings > 1
        || (encodings == 1 && !boost::beast::iequals(message[http::field::transfer_encoding], "chunked"))) {
        return malformed("The only supported transfer encoding is chunked.");
    }
    const std::size_t lengths = message.count(http::field::content_length);
    if (lengths > 1 || (lengths == 1 && encodings == 1)) {
        return malformed("The length of the body is stated more than once.");
    }
    return std::nullopt;
}

Error RequestParser::errorFor(const boost::system::error_code &error) const
{
    if (error == http::error::header_limit) {
        return Error { ResultCode::HeadersTooLarge,
                       "The header is longer than " + std::to_string(maxHeaderBytes_) + " bytes.",
                       {} };
    }
    if (error == http::error::body_limit) {
        return Error { ResultCode::BodyTooLarge,
                       "The body is longer than " + std::to_string(maxBodyBytes_) + " bytes.",
                       {} };
    }
    return malformed("The request is not well-formed: " + error.message() + ".");
}

} // namespace GeraniumLever
