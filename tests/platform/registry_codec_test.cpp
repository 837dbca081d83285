#include "platform/registry_codec.h"

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

TEST(RegistryCodecTest, DecodesAnEntry)
{
    const std::optional<UpstreamEntry> entry = decodeUpstream(
        "i-1",
        R"({"service":"s","address":"10.1.2.3:80","zone":"z","slots":48,"state":"draining","version":"v1.1","born":17,"cold_left_ms":5})");
    ASSERT_TRUE(entry.has_value());
    EXPECT_EQ(entry->name, UpstreamName("i-1"));
    EXPECT_EQ(entry->pool, PoolName("s"));
    EXPECT_EQ(entry->seats, 48U);
    EXPECT_EQ(entry->version, "v1.1");
    EXPECT_TRUE(entry->leaving);
    EXPECT_EQ(entry->incarnation, 17U);
    EXPECT_EQ(entry->warmUpLeft, std::chrono::milliseconds(5));
}

TEST(RegistryCodecTest, UnusableEntriesAreRejected)
{
    for (const std::string text : {
             "",
             "7",
             "{}",
             R"({"address":"10.1.2.3:80","zone":"z","slots":48,"state":"ready"})",
             R"({"service":1,"address":"10.1.2.3:80","zone":"z","slots":48,"state":"ready"})",
             R"({"service":"s","address":"10.1.2.3:80","zone":"z","slots":"48","state":"ready"})",
             R"({"service":"s","address":"10.1.2.3:80","zone":"z","slots":0,"state":"ready"})",
             R"({"service":"s","address":"10.1.2.3:80","zone":"z","slots":48,"state":"asleep"})",
         }) {
        EXPECT_FALSE(decodeUpstream("i-1", text).has_value()) << text;
    }
}

} // namespace
} // namespace GeraniumLever
