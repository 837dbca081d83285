#include "drivers/settings/settings.h"

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

constexpr const char *RequiredFields = R"(node: n1
data_center: north
caller_address: 127.0.0.1:8080
status_address: 127.0.0.1:8081
store_address: 127.0.0.1:8082
)";

TEST(RelaySettingsTest, NodeDoesNotStartForTheFirstTimeUnlessItIsStated)
{
    const RelaySettingsResult without = parseRelaySettings(RequiredFields);
    ASSERT_TRUE(std::holds_alternative<RelaySettings>(without));
    EXPECT_FALSE(std::get<RelaySettings>(without).isFirstStart);
    const RelaySettingsResult with = parseRelaySettings(std::string(RequiredFields) + "first_start: true\n");
    ASSERT_TRUE(std::holds_alternative<RelaySettings>(with));
    EXPECT_TRUE(std::get<RelaySettings>(with).isFirstStart);
}

TEST(RelaySettingsTest, ListsEveryFaultInLineOrder)
{
    const RelaySettingsResult result = parseRelaySettings("node: n1\n"
                                                          "caller_address: here\n"
                                                          "first_start: perhaps\n");
    ASSERT_TRUE(std::holds_alternative<std::vector<Fault>>(result));
    const std::string text = formatFaults(std::get<std::vector<Fault>>(result));
    for (const char *name : { "data_center", "caller_address", "first_start" }) {
        EXPECT_NE(text.find(name), std::string::npos) << text;
    }
}

} // namespace
} // namespace GeraniumLever
