#include "platform/platform_store.h"

#include <gtest/gtest.h>

#include "development/platform_standins/platform_standins.h"
#include "tests/drivers/http/event_loop.h"

namespace GeraniumLever {
namespace {

class PlatformStoreTest : public testing::Test
{
protected:
    PlatformStoreTest()
        : store_(loop_.context(), "127.0.0.1:0")
        , client_(loop_.context(), store_.address(), std::chrono::milliseconds(200))
    {
    }

    Result<StoredConfiguration> readConfiguration()
    {
        std::optional<Result<StoredConfiguration>> result;
        client_.readConfiguration([&](Result<StoredConfiguration> read) { result = std::move(read); });
        EXPECT_TRUE(loop_.runUntil([&]() { return result.has_value(); }));
        return *result;
    }

    Result<StoredUpstreams> readUpstreams()
    {
        std::optional<Result<StoredUpstreams>> result;
        client_.readUpstreams([&](Result<StoredUpstreams> read) { result = std::move(read); });
        EXPECT_TRUE(loop_.runUntil([&]() { return result.has_value(); }));
        return *result;
    }

    EventLoop loop_;
    StoreStandIn store_;
    PlatformStore client_;
};

TEST_F(PlatformStoreTest, DistinguishesMissingConfigurationFromUnavailableStore)
{
    store_.put("op", "other", "{}");
    EXPECT_EQ(errorOf(readConfiguration()).code, ResultCode::ObjectNotFound);
    store_.put("op", "config", "{\"version\":3}");
    EXPECT_EQ(valueOf(readConfiguration()).configuration->version, ConfigurationVersion(3));
    for (const StoreFault fault : { StoreFault::Busy,
                                    StoreFault::Many,
                                    StoreFault::Reset,
                                    StoreFault::Silent,
                                    StoreFault::LoseAnswers,
                                    StoreFault::Late,
                                    StoreFault::Slow }) {
        store_.setFault(fault);
        EXPECT_EQ(errorOf(readConfiguration()).code, ResultCode::TableUnavailable);
    }
    store_.setFault(StoreFault::None);
    EXPECT_TRUE(succeeded(readConfiguration()));
}

TEST_F(PlatformStoreTest, ReadsUpstreamsAcrossSeveralPages)
{
    constexpr int Upstreams = 1203;
    for (int number = 0; number < Upstreams; ++number) {
        store_.put("servers",
                   "i-" + std::to_string(number),
                   R"({"service":"s","address":"10.1.2.3:80","zone":"z","slots":4,"state":"ready"})");
    }
    store_.put("servers", "i-7 odd/name", "junk");
    EXPECT_EQ(valueOf(readUpstreams()).upstreams.size(), static_cast<std::size_t>(Upstreams));
}

TEST_F(PlatformStoreTest, ReadsStateTheEraAndTheVersions)
{
    store_.put("op", "config", "{\"version\":3}");
    store_.put("op", "other", "{}");
    StoredConfiguration read = valueOf(readConfiguration());
    EXPECT_EQ(read.rowVersion, 1U);
    EXPECT_EQ(read.state, (StoreState { 0, 2 }));
    store_.copy();
    store_.put("op", "config", "{\"version\": 3}");
    EXPECT_EQ(valueOf(readConfiguration()).rowVersion, 3U);
    EXPECT_NE(valueOf(readConfiguration()).configuration->id(), read.configuration->id());
    store_.restore();
    read = valueOf(readConfiguration());
    EXPECT_EQ(read.rowVersion, 1U);
    EXPECT_EQ(read.state, (StoreState { 1, 2 }));
    store_.put("servers", "a", R"({"service":"s","address":"10.1.2.3:80","zone":"z","slots":4,"state":"ready"})");
    EXPECT_EQ(valueOf(readUpstreams()).upstreams.at(0).rowVersion, 3U);
}

TEST_F(PlatformStoreTest, PagesFromBeforeAndAfterARestorationAreNeverJoined)
{
    for (int number = 0; number < 700; ++number) {
        store_.put("servers",
                   "i-" + std::to_string(number),
                   R"({"service":"s","address":"10.1.2.3:80","zone":"z","slots":4,"state":"ready"})");
    }
    store_.copy();
    store_.restoreAfterCalls(1);
    EXPECT_EQ(errorOf(readUpstreams()).code, ResultCode::TableUnavailable);
    const StoredUpstreams stored = valueOf(readUpstreams());
    EXPECT_EQ(stored.upstreams.size(), 700U);
    EXPECT_EQ(stored.state.era, 1U);
}

} // namespace
} // namespace GeraniumLever
