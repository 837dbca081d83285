#include "drivers/http/request_parser.h"

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

constexpr std::size_t MaxHeaderBytes = 512;
constexpr std::size_t MaxBodyBytes = 64;

/** Code of the error with which a text is refused; Ok if it is a complete request, RequestTimeout if it is incomplete.
 */
ResultCode codeFor(const std::string &text)
{
    RequestParser parser(MaxHeaderBytes, MaxBodyBytes);
    boost::beast::flat_buffer input;
    input.commit(boost::asio::buffer_copy(input.prepare(text.size()), boost::asio::buffer(text)));
    const std::optional<Error> error = parser.feed(input);
    if (error.has_value()) {
        return error->code;
    }
    return parser.complete() ? ResultCode::Ok : ResultCode::RequestTimeout;
}

std::string post(const std::string &fields, const std::string &body)
{
    return "POST /x HTTP/1.1\r\n" + fields + "\r\n" + body;
}

TEST(RequestParserTest, AcceptsBodiesWithALengthAndInChunks)
{
    EXPECT_EQ(codeFor(post("Host: a\r\nContent-Length: 3\r\n", "abc")), ResultCode::Ok);
    EXPECT_EQ(codeFor(post("Host: a\r\nTransfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n")), ResultCode::Ok);
    EXPECT_EQ(codeFor(post("Host: a\r\nTransfer-Encoding: Chunked\r\n", "0\r\n\r\n")), ResultCode::Ok);
}

TEST(RequestParserTest, RefusesARequestWithoutExactlyOneHost)
{
    EXPECT_EQ(codeFor(post("Content-Length: 0\r\n", "")), ResultCode::MalformedRequest);
    EXPECT_EQ(codeFor(post("Host: a\r\nHost: b\r\nContent-Length: 0\r\n", "")), ResultCode::MalformedRequest);
}

TEST(RequestParserTest, RefusesAmbiguousFraming)
{
    for (const std::string fields : { "Transfer-Encoding: xchunked\r\n",
                                      "Transfer-Encoding: gzip, chunked\r\n",
                                      "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
                                      "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
                                      "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
                                      "Content-Length: 3\r\nContent-Length: 4\r\n",
                                      "Content-Length: 3\r\nContent-Length: 3\r\n",
                                      "Content-Length: +3\r\n",
                                      "Content-Length: 3x\r\n",
                                      "Content-Length : 3\r\n" }) {
        EXPECT_EQ(codeFor(post("Host: a\r\n" + fields, "3\r\nabc\r\n0\r\n\r\n")), ResultCode::MalformedRequest)
            << fields;
    }
}

TEST(RequestParserTest, RefusesOtherVersionsAndInvalidInput)
{
    EXPECT_EQ(codeFor("GET /x HTTP/1.0\r\nHost: a\r\n\r\n"), ResultCode::MalformedRequest);
    EXPECT_EQ(codeFor("\x16\x03\x01 junk\r\n\r\n"), ResultCode::MalformedRequest);
    EXPECT_EQ(codeFor("GET /x y HTTP/1.1\r\nHost: a\r\n\r\n"), ResultCode::MalformedRequest);
}

TEST(RequestParserTest, RefusesHeadersAndBodiesThatAreTooLarge)
{
    const std::string field = "X: " + std::string(MaxHeaderBytes, 'x') + "\r\n";
    EXPECT_EQ(codeFor(post("Host: a\r\n" + field, "")), ResultCode::HeadersTooLarge);
    const std::string body(MaxBodyBytes + 1, 'x');
    EXPECT_EQ(codeFor(post("Host: a\r\nContent-Length: " + std::to_string(body.size()) + "\r\n", body)),
              ResultCode::BodyTooLarge);
    EXPECT_EQ(codeFor(post("Host: a\r\nTransfer-Encoding: chunked\r\n", "41\r\n" + body + "\r\n0\r\n\r\n")),
              ResultCode::BodyTooLarge);
}

} // namespace
} // namespace GeraniumLever
