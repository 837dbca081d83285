#include "platform/configuration_codec.h"

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

constexpr std::string_view Whole = R"({"version":7,"other":[1],
"routes":[{"name":"r","host":"h.example","path_prefix":"/a/","kind":"stream","timeout_ms":10000,
"target_latency_ms":1500,"priority":2,"backends":[{"service":"s","weight":90},{"service":"t","weight":10}],
"max_attempts":3,"public":false,"sticky":true,"resumable":true,"gap_aim_ms":800}],
"services":[{"name":"s","health_path":"/healthz","max_conns":310,"engine":{"slots":48,"kv_capacity":444000}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"one","api_keys":["k1","k2"],"priority":1},{"name":"two","api_keys":[]}]})";

std::string replaced(std::string_view from, std::string_view to)
{
    std::string text(Whole);
    const std::size_t position = text.find(from);
    EXPECT_NE(position, std::string::npos) << from;
    text.replace(position, from.size(), to);
    return text;
}

TEST(ConfigurationCodecTest, ReadsEveryField)
{
    const Result<SiteConfiguration> result = decodeConfiguration(Whole);
    ASSERT_TRUE(succeeded(result)) << errorOf(result).message;
    const SiteConfiguration &configuration = valueOf(result);
    EXPECT_EQ(configuration.version, ConfigurationVersion(7));
    Route route;
    route.name = "r";
    route.host = "h.example";
    route.pathPrefix = "/a/";
    route.pools = { { PoolName("s"), 90 }, { PoolName("t"), 10 } };
    route.streamed = true;
    route.resumable = true;
    route.sharesPrefixes = true;
    route.tier = 2;
    route.maxAttempts = 3;
    route.timeout = std::chrono::seconds(10);
    route.target = std::chrono::milliseconds(1500);
    route.gapTarget = std::chrono::milliseconds(800);
    EXPECT_EQ(configuration.routes, std::vector<Route> { route });
    ASSERT_EQ(configuration.pools.size(), 1U);
    EXPECT_TRUE(configuration.pools[0].engines);
    EXPECT_EQ(configuration.pools[0].kvCacheTokens, 444000U);
    EXPECT_EQ(configuration.pools[0].maxConnections, 310U);
    EXPECT_EQ(configuration.limits.maxHeaderBytes, 16384U);
    ASSERT_EQ(configuration.teams.size(), 2U);
    EXPECT_EQ(configuration.teams[0].tier, 1U);
    EXPECT_EQ(configuration.teams[1].tier, std::nullopt);
}

TEST(ConfigurationCodecTest, KindsSayWhatMayBeRepeated)
{
    const auto routeOf = [](const std::string &kind) {
        return valueOf(decodeConfiguration(replaced("\"kind\":\"stream\"", "\"kind\":\"" + kind + "\""))).routes.at(0);
    };
    EXPECT_TRUE(routeOf("idempotent").isIdempotent);
    EXPECT_FALSE(routeOf("non_idempotent").isIdempotent);
    EXPECT_FALSE(routeOf("of a later day").isIdempotent);
    EXPECT_FALSE(routeOf("idempotent").resumable);
}

TEST(ConfigurationCodecTest, NamesWhatIsWrong)
{
    const std::pair<std::string, std::string> changes[] = {
        { "\"version\":7", "\"version\":\"7\"" },
        { "\"host\":\"h.example\"", "\"host\":1" },
        { "\"path_prefix\":\"/a/\"", "\"path_prefix\":\"a\"" },
        { "\"kind\":\"stream\",", "" },
        { "\"api_keys\":[\"k1\",\"k2\"]", "\"api_keys\":[1]" },
    };
    for (const auto &[from, to] : changes) {
        const Result<SiteConfiguration> result = decodeConfiguration(replaced(from, to));
        ASSERT_FALSE(succeeded(result)) << from;
        const std::string field = from.substr(1, from.find('"', 1) - 1);
        EXPECT_EQ(errorOf(result).code, ResultCode::ConfigurationInvalid);
        EXPECT_NE(errorOf(result).message.find(field), std::string::npos) << errorOf(result).message;
    }
    for (const std::string text : { "", "null", "[]", "{", "{\"version\":1,\"routes\":{}}", "\xff" }) {
        EXPECT_FALSE(succeeded(decodeConfiguration(text))) << text;
    }
}

} // namespace
} // namespace GeraniumLever
