#include "drivers/http/event_stream_parser.h"

#include <vector>

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

constexpr std::size_t MaxEventBytes = 64;

std::vector<std::string> parseInPieces(const std::string &stream, std::size_t pieceBytes)
{
    EventStreamParser parser(MaxEventBytes);
    std::vector<std::string> events;
    const EventStreamParser::DataHandler handler = [&events](std::string data) { events.push_back(std::move(data)); };
    for (std::size_t begin = 0; begin < stream.size(); begin += pieceBytes) {
        EXPECT_TRUE(parser.feed(std::string_view(stream).substr(begin, pieceBytes), handler));
    }
    parser.finish(handler);
    return events;
}

TEST(EventStreamParserTest, GivesTheSameEventsForEverySplit)
{
    const std::string stream = ": comment\n\ndata: one\n\nevent: x\nid: 7\ndata:two\r\n\r\ndata: a\ndata:\ndata:  b\n\n"
                               "retry: 5\n\ndata\rdata: c\r\rdatab: no\n\ndata: [DONE]\n\n";
    const std::vector<std::string> expected { "one", "two", "a\n\n b", "\nc", "[DONE]" };
    for (std::size_t pieceBytes = 1; pieceBytes <= stream.size(); ++pieceBytes) {
        EXPECT_EQ(parseInPieces(stream, pieceBytes), expected) << "pieces of " << pieceBytes;
    }
}

TEST(EventStreamParserTest, ReportsALastEventWithoutItsBlankLine)
{
    const std::vector<std::string> expected { "one", "two" };
    EXPECT_EQ(parseInPieces("data: one\n\ndata: two", 4), expected);
    EXPECT_EQ(parseInPieces("data: one\n\ndata: two\n", 4), expected);
}

TEST(EventStreamParserTest, RefusesAnEventThatIsTooLong)
{
    EventStreamParser parser(MaxEventBytes);
    const EventStreamParser::DataHandler handler = [](const std::string &) {};
    EXPECT_TRUE(parser.feed("data: " + std::string(MaxEventBytes / 2, 'x') + "\n", handler));
    EXPECT_FALSE(parser.feed("data: " + std::string(MaxEventBytes / 2, 'x') + "\n", handler));
}

} // namespace
} // namespace GeraniumLever
