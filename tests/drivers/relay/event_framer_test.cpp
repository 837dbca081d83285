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
    const std::string text = "id: 1\r\ndata: a\r\n\r\nversion: 3\nid:2\ndata: b\n\n: note\n\nid: 7\ndata: c\n\n";
    for (std::size_t cut = 0; cut <= text.size(); ++cut) {
        EventFramer framer;
        std::string passed = framer.feed(text.substr(0, cut));
        passed += framer.feed(text.substr(cut));
        EXPECT_EQ(passed, text) << cut;
        EXPECT_EQ(framer.lastId(), "7") << cut;
        EXPECT_EQ(framer.pendingBytes(), 0U) << cut;
    }
}

} // namespace
} // namespace GeraniumLever
