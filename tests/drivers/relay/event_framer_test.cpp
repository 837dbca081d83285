#include "drivers/relay/event_framer.h"

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

TEST(EventFramerTest, BuffersIncompleteEvents)
{
    EventFramer framer;
    EXPECT_EQ(framer.feed("id: 1\nda"), "");
    EXPECT_EQ(framer.lastId(), "");
    EXPECT_EQ(framer.feed("ta: x\n\nid: 2\n"), "id: 1\ndata: x\n\n");
    EXPECT_EQ(framer.lastId(), "1");
    EXPECT_EQ(framer.pendingBytes(), 6U);
}

TEST(EventFramerTest, ForwardsBytesUnchangedWhereverTheInputIsSplit)
{
    const std::string text =
        "id: 1\r\ndata: a\r\n\r\nversion: 3\nid:2\ndata: b\n\n: note\n\nid: 5\rdata: d\r\rid: 7\ndata: c\n\n";
    for (std::size_t cut = 0; cut <= text.size(); ++cut) {
        EventFramer framer;
        std::string passed = framer.feed(text.substr(0, cut));
        passed += framer.feed(text.substr(cut));
        EXPECT_EQ(passed, text) << cut;
        EXPECT_EQ(framer.lastId(), "7") << cut;
        EXPECT_EQ(framer.pendingBytes(), 0U) << cut;
    }
}

TEST(EventFramerTest, TellsWhetherTheStreamMayEndWhereverTheInputIsSplit)
{
    struct Case
    {
        std::string text;
        bool inside;
        bool complete;
    };
    const Case cases[] = {
        { "", false, false },
        { "\n", false, false },
        { "id: 1\ndata: a", true, false },
        { "id: 1\ndata: a\n", true, false },
        { "id: 1\ndata: a\n\n", false, true },
        { "id: 1\r\ndata: a\r\n", true, false },
        { "id: 1\r\ndata: a\r\n\r", false, true },
        { "id: 1\r\ndata: a\r\n\r\n", false, true },
        { "id: 1\rdata: a\r", true, false },
        { "id: 1\rdata: a\r\r", false, true },
        { "data: a\n\n\n", false, true },
        { "data: a\n\nid: 2\n", true, true },
    };
    for (const Case &expected : cases) {
        for (std::size_t cut = 0; cut <= expected.text.size(); ++cut) {
            EventFramer framer;
            framer.track(std::string_view(expected.text).substr(0, cut));
            framer.track(std::string_view(expected.text).substr(cut));
            EXPECT_EQ(framer.isInsideEvent(), expected.inside) << expected.text << " cut at " << cut;
            EXPECT_EQ(framer.hasCompleteEvent(), expected.complete) << expected.text << " cut at " << cut;
        }
    }
}

} // namespace
} // namespace GeraniumLever
