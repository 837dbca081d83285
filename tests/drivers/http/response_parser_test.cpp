#include "drivers/http/response_parser.h"

#include <gtest/gtest.h>

#include "tests/drivers/http/raw_responses.h"

namespace GeraniumLever {
namespace {

void append(boost::beast::flat_buffer &input, const std::string &bytes)
{
    input.commit(boost::asio::buffer_copy(input.prepare(bytes.size()), boost::asio::buffer(bytes)));
}

class ResponseParserTest : public testing::Test
{
protected:
    /** Feeds bytes that have arrived; false if the response is rejected. */
    bool feed(const std::string &bytes)
    {
        append(input_, bytes);
        return !parser_.feed(input_).has_value();
    }

    boost::beast::flat_buffer input_;
    ResponseParser parser_ { false };
};

class InvalidSplitResponseTest : public testing::TestWithParam<RawResponse>
{
};

TEST_P(InvalidSplitResponseTest, IsRejectedWhereverItIsSplit)
{
    const std::string &bytes = GetParam().bytes;
    for (std::size_t split = 0; split <= bytes.size(); ++split) {
        boost::beast::flat_buffer input;
        ResponseParser parser(false);
        append(input, bytes.substr(0, split));
        if (!parser.feed(input).has_value()) {
            append(input, bytes.substr(split));
            EXPECT_NE(parser.feed(input), std::nullopt) << "split at " << split;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Responses,
                         InvalidSplitResponseTest,
                         testing::ValuesIn(invalidResponses()),
                         [](const auto &info) { return info.param.name; });

class UnusualSplitResponseTest : public testing::TestWithParam<RawResponse>
{
};

TEST_P(UnusualSplitResponseTest, IsParsedWhereverItIsSplit)
{
    const std::string &bytes = GetParam().bytes;
    for (std::size_t split = 0; split <= bytes.size(); ++split) {
        boost::beast::flat_buffer input;
        ResponseParser parser(false);
        append(input, bytes.substr(0, split));
        EXPECT_EQ(parser.feed(input), std::nullopt) << "split at " << split;
        append(input, bytes.substr(split));
        EXPECT_EQ(parser.feed(input), std::nullopt) << "split at " << split;
        ASSERT_TRUE(parser.complete()) << "split at " << split;
        EXPECT_EQ(parser.status(), GetParam().status);
        EXPECT_EQ(parser.takeBody(), GetParam().body);
        EXPECT_EQ(input.size(), 0U);
    }
}

INSTANTIATE_TEST_SUITE_P(Responses,
                         UnusualSplitResponseTest,
                         testing::ValuesIn(unusualResponses()),
                         [](const auto &info) { return info.param.name; });

TEST_F(ResponseParserTest, BytesAfterTheResponseAreNotConsumed)
{
    EXPECT_TRUE(feed(helloWith("200 OK") + "HTTP/1.1 "));
    EXPECT_TRUE(parser_.complete());
    EXPECT_EQ(input_.size(), 9U);
}

TEST_F(ResponseParserTest, ResponseWithoutFramingEndsWithTheConnection)
{
    EXPECT_TRUE(feed("HTTP/1.1 200 OK\r\n\r\nhello"));
    EXPECT_TRUE(parser_.headComplete());
    EXPECT_TRUE(parser_.endsWithConnection());
    EXPECT_FALSE(parser_.complete());
    EXPECT_FALSE(parser_.keepAlive());
    EXPECT_EQ(parser_.takeBody(), "hello");
}

TEST_F(ResponseParserTest, HeadWithBareLineFeedsIsRejectedBeforeItHasEnded)
{
    EXPECT_FALSE(feed("HTTP/1.1 200 OK\n"));
}

TEST_F(ResponseParserTest, InformationalResponsesAreLimitedInSize)
{
    const std::string early = "HTTP/1.1 103 Early\r\nLink: " + std::string(50 * 1024, 'x') + "\r\n\r\n";
    for (int number = 0; number < 5; ++number) {
        EXPECT_TRUE(feed(early));
    }
    EXPECT_FALSE(feed(early));
}

} // namespace
} // namespace GeraniumLever
