#include "core/core.h"

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

TEST(UniqueIdTest, TextFormRoundTrips)
{
    const RequestId id(originHash(NodeName("entry-1"), Incarnation(7)), 255);
    const std::optional<RequestId> parsed = RequestId::parse(id.text());
    ASSERT_TRUE(parsed.has_value());
    EXPECT_EQ(*parsed, id);
}

TEST(UniqueIdTest, RejectsOtherText)
{
    EXPECT_FALSE(RequestId::parse("").has_value());
    EXPECT_FALSE(RequestId::parse("0123456789abcdef").has_value());
    EXPECT_FALSE(RequestId::parse("0123456789abcdef-").has_value());
    EXPECT_FALSE(RequestId::parse("0123456789abcdef-1x").has_value());
}

TEST(UniqueIdTest, OriginDependsOnTheIncarnation)
{
    EXPECT_NE(originHash(NodeName("entry-1"), Incarnation(1)), originHash(NodeName("entry-1"), Incarnation(2)));
}

} // namespace
} // namespace GeraniumLever
