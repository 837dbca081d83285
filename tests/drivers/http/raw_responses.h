/** Responses in raw bytes, for tests of everything that reads responses. */
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace GeraniumLever {

struct RawResponse
{
    /** Letters and digits only, as GoogleTest requires of names. */
    std::string name;
    std::string bytes;
    /** Status and body that a client must get; 0 and empty for a response that must be rejected. */
    unsigned status = 0;
    std::string body {};
};

inline std::string nameOf(const RawResponse &response)
{
    return response.name;
}

inline std::ostream &operator<<(std::ostream &stream, const RawResponse &response)
{
    return stream << response.name;
}

/** A response with a body of five bytes. fields: further header lines with their line ends. */
inline std::string helloWith(const std::string &statusLine, const std::string &fields = "")
{
    return "HTTP/1.1 " + statusLine + "\r\n" + fields + "Content-Length: 5\r\n\r\nhello";
}

/** A response whose body of five bytes comes in one chunk. */
inline std::string chunkedHelloWith(const std::string &fields, const std::string &trailer = "")
{
    return "HTTP/1.1 200 OK\r\n" + fields + "\r\n5\r\nhello\r\n0\r\n" + trailer + "\r\n";
}

/** Responses that no client may take for an answer. */
inline std::vector<RawResponse> invalidResponses()
{
    const std::string nul(1, '\0');
    return {
        { "Status000", helloWith("000 X") },
        { "Status001", helloWith("001 X") },
        { "Status099", helloWith("099 X") },
        { "Status600", helloWith("600 X") },
        { "Status999", helloWith("999 X") },
        { "StatusOfTwoDigits", helloWith("20 X") },
        { "StatusOfFourDigits", helloWith("2000 X") },
        { "StatusWithASign", helloWith("+20 X") },
        { "NameWithABlank", helloWith("200 OK", "X Note: x\r\n") },
        { "NameWithATab", helloWith("200 OK", "X\tNote: x\r\n") },
        { "NameWithANul", helloWith("200 OK", "X" + nul + "Note: x\r\n") },
        { "NameWithAControlByte", helloWith("200 OK", "X\x01Note: x\r\n") },
        { "NameWithADelete", helloWith("200 OK", "X\x7fNote: x\r\n") },
        { "NameWithAHighByte", helloWith("200 OK", "X\xc3Note: x\r\n") },
        { "NameThatIsEmpty", helloWith("200 OK", ": x\r\n") },
        { "BlankBeforeTheColon", helloWith("200 OK", "X-Note : x\r\n") },
        { "BlankBeforeTheColonOfTheLength", "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nhello" },
        { "LineWithoutAColon", helloWith("200 OK", "X-Note\r\n") },
        { "FirstLineBeginsWithABlank", helloWith("200 OK", " X-Note: x\r\n") },
        { "LineBeginsWithABlank", helloWith("200 OK", "X-First: a\r\n X-Note: x\r\n") },
        { "LineBeginsWithATab", helloWith("200 OK", "X-First: a\r\n\tX-Note: x\r\n") },
        { "LineOfBlanks", helloWith("200 OK", "X-First: a\r\n  \r\n") },
        { "LastLineBeginsWithABlank", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n X-Note: x\r\n\r\nhello" },
        { "LineOfAnInformationalResponseBeginsWithABlank",
          "HTTP/1.1 103 Early\r\nX-First: a\r\n X-Note: x\r\n\r\n" + helloWith("200 OK") },
        { "ControlByteInAValue", helloWith("200 OK", "X-Note: a\x01z\r\n") },
        { "NulInAValue", helloWith("200 OK", "X-Note: a" + nul + "z\r\n") },
        { "BareCarriageReturnInAValue", helloWith("200 OK", "X-Note: a\rz\r\n") },
        { "ControlByteInTheReason", helloWith("200 O\x01K") },
        { "BareLineFeeds", "HTTP/1.1 200 OK\nContent-Length: 5\n\nhello" },
        { "Version20", "HTTP/2.0 200 OK\r\nContent-Length: 5\r\n\r\nhello" },
        { "Version09", "HTTP/0.9 200 OK\r\nContent-Length: 5\r\n\r\nhello" },
        { "NoHttp", "not HTTP at all\r\n\r\n" },
        { "EmptyLineBeforeTheStatusLine", "\r\n" + helloWith("200 OK") },
        { "TwoLengths", helloWith("200 OK", "Content-Length: 4\r\n") },
        { "LengthWithASign", "HTTP/1.1 200 OK\r\nContent-Length: +5\r\n\r\nhello" },
        { "ListOfLengths", "HTTP/1.1 200 OK\r\nContent-Length: 5, 6\r\n\r\nhello" },
        { "LengthThatIsTooLarge", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\nhello" },
        { "LengthAndChunks", chunkedHelloWith("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n") },
        { "ChunksAndLength", chunkedHelloWith("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n") },
        { "ChunkSizeThatIsNoNumber", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n" },
        { "ChunkThatIsLongerThanItsSize",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhello\r\n0\r\n\r\n" },
        { "OtherCoding", helloWith("200 OK", "Transfer-Encoding: gzip\r\n") },
        { "OtherCodingWithoutALength", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nhello" },
        { "OtherCodingBeforeChunks", chunkedHelloWith("Transfer-Encoding: gzip, chunked\r\n") },
        { "OtherCodingAfterChunks", chunkedHelloWith("Transfer-Encoding: chunked, gzip\r\n") },
        { "OtherCodingInALineBefore", chunkedHelloWith("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n") },
        { "OtherCodingInALineAfter", chunkedHelloWith("Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n") },
        { "CodingThatIsEmpty", chunkedHelloWith("Transfer-Encoding:\r\n") },
        { "CodingWithAParameter", chunkedHelloWith("Transfer-Encoding: chunked;q=1\r\n") },
        { "ChunksInVersion10", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n" },
        { "SwitchOfProtocols", "HTTP/1.1 101 Switching\r\n\r\n" + helloWith("200 OK") },
        { "BodyOfAnInformationalResponse", helloWith("103 Early") + helloWith("200 OK") },
        { "ChunkedBodyOfAnInformationalResponse",
          "HTTP/1.1 103 Early\r\nTransfer-Encoding: chunked\r\n\r\n" + helloWith("200 OK") },
        { "BodyOfStatus204", helloWith("204 None") },
        { "ChunkedBodyOfStatus204", "HTTP/1.1 204 None\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" },
    };
}

/** Unusual responses that every client must take. */
inline std::vector<RawResponse> unusualResponses()
{
    return {
        { "NoReason", helloWith("200 "), 200, "hello" },
        { "HighBytesInTheReason", helloWith("200 \xc3\xa9"), 200, "hello" },
        { "HighBytesInAValue", helloWith("200 OK", "X-Note: caf\xc3\xa9 \xff\r\n"), 200, "hello" },
        { "TabInAValue", helloWith("200 OK", "X-Note: a\tb\r\n"), 200, "hello" },
        { "ValueThatIsEmpty", helloWith("200 OK", "X-Note:\r\n"), 200, "hello" },
        { "UnusualNames", helloWith("200 OK", "!#$%&'*+-.^_`|~09azAZ: x\r\n"), 200, "hello" },
        { "SameLengthTwice", helloWith("200 OK", "Content-Length: 5\r\n"), 200, "hello" },
        { "ChunksInCapitals", chunkedHelloWith("Transfer-Encoding: CHUNKED\r\n"), 200, "hello" },
        { "ChunkExtension",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\n\r\n",
          200,
          "hello" },
        { "Trailer", chunkedHelloWith("Transfer-Encoding: chunked\r\n", "X-Note: x\r\n"), 200, "hello" },
        { "Version10", "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello", 200, "hello" },
        { "Status100First", "HTTP/1.1 100 Continue\r\n\r\n" + helloWith("200 OK"), 200, "hello" },
        { "Status102First", "HTTP/1.1 102 Processing\r\n\r\n" + helloWith("200 OK"), 200, "hello" },
        { "Status103First", "HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" + helloWith("200 OK"), 200, "hello" },
        { "Status199First", "HTTP/1.1 199 X\r\n\r\n" + helloWith("200 OK"), 200, "hello" },
        { "SeveralInformationalResponsesFirst",
          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 103 Early\r\n\r\n"
              + helloWith("200 OK"),
          200,
          "hello" },
        { "Status204", "HTTP/1.1 204 None\r\n\r\n", 204, "" },
        { "Status204WithLength0", "HTTP/1.1 204 None\r\nContent-Length: 0\r\n\r\n", 204, "" },
        { "Status304WithALength", "HTTP/1.1 304 Same\r\nContent-Length: 5\r\n\r\n", 304, "" },
        { "Status299", helloWith("299 X"), 299, "hello" },
        { "Status418", helloWith("418 X"), 418, "hello" },
        { "Status599", helloWith("599 X"), 599, "hello" },
    };
}

} // namespace GeraniumLever
