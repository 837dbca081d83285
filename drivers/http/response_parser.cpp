#include "drivers/http/response_parser.h"

#include <utility>

#include <boost/beast/core/string.hpp>

#include "core/core.h"

namespace GeraniumLever {

namespace {

namespace http = boost::beast::http;

constexpr std::uint32_t MaxHeadBytes = 64 * 1024;
/** Limits of what informational responses may precede the response. */
constexpr unsigned MaxInformationalResponses = 500;
constexpr std::size_t MaxInformationalBytes = 256 * 1024;
constexpr unsigned StatusSwitchingProtocols = 101;
constexpr unsigned StatusNoContent = 204;
constexpr unsigned Http11 = 11;

} // namespace

ResponseParser::ResponseParser(bool headRequest, std::optional<std::uint64_t> maxBodyBytes)
    : headRequest_(headRequest), maxBodyBytes_(maxBodyBytes)
{
    reset();
}

void ResponseParser::reset()
{
    parser_.emplace();
    // The parser stops at the end of the head, since it would add the fields of a trailer to those of the head.
    parser_->eager(false);
    parser_->header_limit(MaxHeadBytes);
    parser_->body_limit(maxBodyBytes_.has_value() ? boost::optional<std::uint64_t>(*maxBodyBytes_) : boost::none);
    parser_->skip(headRequest_);
    lines_ = HeadLineChecker();
    consumedBytes_ = 0;
}

std::optional<std::string> ResponseParser::feed(boost::beast::flat_buffer &input)
{
    while (input.size() != 0 && !complete()) {
        std::optional<std::string> fault =
            checkLines(std::string_view(static_cast<const char *>(input.data().data()), input.size()));
        if (fault.has_value()) {
            return fault;
        }
        boost::system::error_code error;
        const std::size_t used = parser_->put(input.data(), error);
        if (error && error != http::error::need_more) {
            return "the response is malformed: " + error.message();
        }
        input.consume(used);
        consumedBytes_ += headComplete_ ? 0 : used;
        if (!headComplete_ && parser_->is_header_done()) {
            fault = finishHead();
        }
        if (fault.has_value()) {
            return fault;
        }
        if (error || used == 0) {
            break;
        }
    }
    if (!complete() && input.size() > MaxHeadBytes) {
        return "a part of the response that must arrive whole is too long";
    }
    return std::nullopt;
}

std::optional<std::string> ResponseParser::checkLines(std::string_view arrived)
{
    if (headComplete_) {
        return std::nullopt;
    }
    return lines_.check(arrived.substr(lines_.checkedBytes() - consumedBytes_));
}

std::optional<std::string> ResponseParser::finishHead()
{
    std::optional<std::string> fault = checkStatus();
    if (!fault.has_value()) {
        fault = checkFraming();
    }
    if (fault.has_value()) {
        return fault;
    }
    if (isInformationalStatus(parser_->get().result_int())) {
        return skipInformationalResponse();
    }
    head_ = parser_->get().base();
    headComplete_ = true;
    parser_->eager(true);
    return std::nullopt;
}

std::optional<std::string> ResponseParser::skipInformationalResponse()
{
    informationalBytes_ += consumedBytes_;
    if (++informationalResponses_ > MaxInformationalResponses || informationalBytes_ > MaxInformationalBytes) {
        return "there are too many informational responses";
    }
    reset();
    return std::nullopt;
}

std::optional<std::string> ResponseParser::checkStatus() const
{
    const unsigned status = parser_->get().result_int();
    if (!isHttpStatus(status)) {
        return "the status is not between 100 and 599";
    }
    if (status == StatusSwitchingProtocols) {
        return "the response switches to a protocol that the request did not ask for";
    }
    return std::nullopt;
}

std::optional<std::string> ResponseParser::checkFraming() const
{
    const http::response<AppendBody> &message = parser_->get();
    const std::size_t encodings = message.count(http::field::transfer_encoding);
    if (encodings > 1
        || (encodings == 1 && !boost::beast::iequals(message[http::field::transfer_encoding], "chunked"))) {
        return "the transfer encoding is not chunked";
    }
    if (encodings != 0 && message.version() != Http11) {
        return "a response of HTTP/1.0 has a transfer encoding";
    }
    const unsigned status = message.result_int();
    const bool neverHasBody = isInformationalStatus(status) || status == StatusNoContent;
    if (neverHasBody && (encodings != 0 || parser_->content_length().value_or(0) != 0)) {
        return "a response that cannot have a body states one";
    }
    return std::nullopt;
}

std::optional<std::uint64_t> ResponseParser::missingBodyBytes() const
{
    const boost::optional<std::uint64_t> missing = parser_->content_length_remaining();
    return missing.has_value() ? std::optional<std::uint64_t>(*missing) : std::nullopt;
}

std::string ResponseParser::takeBody()
{
    return std::exchange(parser_->get().body(), {});
}

} // namespace GeraniumLever
