#include "platform/platform_store.h"

#include <gtest/gtest.h>

#include "development/platform_standins/platform_standins.h"
#include "platform/stored_origin_codec.h"
#include "tests/drivers/http/event_loop.h"

namespace GeraniumLever {
namespace {

std::string configurationWithRoutes(int version, int routes)
{
    std::string text = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    for (int number = 0; number < routes; ++number) {
        text += std::string(number == 0 ? "" : ",") + R"({"name":"r)" + std::to_string(number) + R"(","host":"team-)"
            + std::to_string(number)
            + R"(.example","path_prefix":"/a-prefix-of-some-length/","service":"engines","kind":"idempotent"})";
    }
    return text + "]}";
}

std::string upstreamRow(std::uint64_t slots)
{
    return R"({"service":"s","address":"10.1.2.3:80","zone":"z","state":"ready","slots":)" + std::to_string(slots)
        + "}";
}

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
        client_.readConfiguration(Duration(0), [&](Result<StoredConfiguration> read) { result = std::move(read); });
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

    StoredVersionNotes readNotes()
    {
        std::optional<Result<StoredVersionNotes>> result;
        client_.readVersionNotes([&](Result<StoredVersionNotes> read) { result = std::move(read); });
        EXPECT_TRUE(loop_.runUntil([&]() { return result.has_value(); }));
        return valueOf(*result);
    }

    bool writeNote(const VersionNoteUpdate &update)
    {
        std::optional<bool> isWritten;
        client_.writeVersionNote(update, [&](const Result<StoreState> &result) { isWritten = succeeded(result); });
        EXPECT_TRUE(loop_.runUntil([&]() { return isWritten.has_value(); }));
        return *isWritten;
    }

    EventLoop loop_;
    StoreStandIn store_;
    PlatformStore client_;
};

TEST_F(PlatformStoreTest, NotesOnVersionsAreWrittenOnlyIfTheyHaveNotChanged)
{
    const PoolName pool("engines");
    const PoolNote first { { { "v1", std::nullopt } }, Duration(0), 0xFFFFFFFFFFFFFFF1, Duration(0) };
    const PoolNote second { { { "v1", std::chrono::milliseconds(123456) }, { "", std::nullopt } },
                            std::chrono::milliseconds(5),
                            7,
                            std::chrono::milliseconds(6),
                            3 };
    EXPECT_TRUE(readNotes().pools.empty());
    EXPECT_TRUE(writeNote({ pool, first, 0 }));
    EXPECT_FALSE(writeNote({ pool, second, 0 }));
    StoredVersionNotes stored = readNotes();
    ASSERT_EQ(stored.pools.count(pool), 1U);
    EXPECT_EQ(stored.pools[pool].note, first);
    EXPECT_TRUE(stored.state.clock.has_value());
    EXPECT_TRUE(writeNote({ pool, second, stored.pools[pool].rowVersion }));
    EXPECT_FALSE(writeNote({ pool, first, stored.pools[pool].rowVersion }));
    EXPECT_EQ(readNotes().pools[pool].note, second);
}

// Guards against a late removal taking away an entry that was written after it was sent.
TEST_F(PlatformStoreTest, NodeIsRemovedOnlyAsItWasRead)
{
    PeerNode node { NodeName("front-1"), DataCenterName("dc"), "10.1.2.3:70", 0.25, 0xFFFFFFFFFFFFFFF1 };
    const auto write = [&]() {
        std::optional<bool> isWritten;
        client_.writeNode(node, [&](const Result<StoreState> &result) { isWritten = succeeded(result); });
        EXPECT_TRUE(loop_.runUntil([&]() { return isWritten.has_value(); }));
        EXPECT_TRUE(*isWritten);
    };
    const auto read = [&]() {
        std::optional<Result<StoredNodes>> result;
        client_.readNodes([&](Result<StoredNodes> stored) { result = std::move(stored); });
        EXPECT_TRUE(loop_.runUntil([&]() { return result.has_value(); }));
        return valueOf(*result).nodes;
    };
    const auto remove = [&](const PeerNode &removed) {
        std::optional<bool> isRemoved;
        client_.removeNode(removed, [&](const Result<StoreState> &result) { isRemoved = succeeded(result); });
        EXPECT_TRUE(loop_.runUntil([&]() { return isRemoved.has_value(); }));
        return *isRemoved;
    };
    write();
    const std::vector<PeerNode> first = read();
    ASSERT_EQ(first.size(), 1U);
    EXPECT_EQ(first.front().incarnation, node.incarnation);
    node.incarnation = 2;
    write();
    EXPECT_FALSE(remove(first.front()));
    ASSERT_EQ(read().size(), 1U);
    EXPECT_TRUE(remove(read().front()));
    EXPECT_TRUE(read().empty());
}

// Guards against a late release taking away a part that was quarantined anew.
TEST_F(PlatformStoreTest, QuarantinedPartIsRemovedOnlyAsItWasRead)
{
    constexpr std::uint64_t Part = 0xdead01;
    PlatformStore other(loop_.context(), store_.address(), std::chrono::milliseconds(200));
    const auto update = [&](PlatformStore &client, const QuarantineUpdate &changes) {
        std::optional<bool> isDone;
        client.updateQuarantine(changes, [&](const Result<StoreState> &result) { isDone = succeeded(result); });
        EXPECT_TRUE(loop_.runUntil([&]() { return isDone.has_value(); }));
        return *isDone;
    };
    const auto read = [&]() {
        std::optional<Result<StoredQuarantine>> result;
        client_.readQuarantine([&](Result<StoredQuarantine> stored) { result = std::move(stored); });
        EXPECT_TRUE(loop_.runUntil([&]() { return result.has_value(); }));
        return valueOf(*result).crashes;
    };
    EXPECT_TRUE(update(other, { { { Part, 3 } }, {} }));
    EXPECT_EQ(read().size(), 1U);
    EXPECT_TRUE(update(other, { { { Part, 4 } }, {} }));
    EXPECT_FALSE(update(client_, { {}, { Part } }));
    EXPECT_EQ(read(), (std::map<std::uint64_t, std::uint32_t> { { Part, 4 } }));
    EXPECT_TRUE(update(client_, { {}, { Part } }));
    EXPECT_TRUE(read().empty());
}

class StoredOriginTest : public PlatformStoreTest
{
protected:
    RowChange write(const StoredOriginUpdate &update)
    {
        std::optional<Result<RowChange>> result;
        client_.writeStoredOrigins(update, [&](const Result<RowChange> &change) { result = change; });
        EXPECT_TRUE(loop_.runUntil([&]() { return result.has_value(); }));
        return valueOf(*result);
    }

    bool remove(const std::vector<std::string> &keys)
    {
        std::optional<bool> isRemoved;
        client_.removeStoredOrigins(keys, [&](const Result<StoreState> &result) { isRemoved = succeeded(result); });
        EXPECT_TRUE(loop_.runUntil([&]() { return isRemoved.has_value(); }));
        return *isRemoved;
    }

    std::map<std::string, StoredOriginRow> read()
    {
        std::optional<Result<StoredOrigins>> result;
        client_.readStoredOrigins([&](Result<StoredOrigins> stored) { result = std::move(stored); });
        EXPECT_TRUE(loop_.runUntil([&]() { return result.has_value(); }));
        return valueOf(*result).rows;
    }

    static StoredOriginRow rowOf(std::vector<std::uint64_t> streams)
    {
        StoredOriginRow row;
        row.streams[{ PoolName("engines"), "v1" }] = std::move(streams);
        return row;
    }
};

TEST_F(StoredOriginTest, OriginsAreReadAsTheyWereWritten)
{
    StoredOriginRow row = rowOf({ 1, 0xFFFFFFFFFFFFFFFF });
    row.streams[{ PoolName("engines"), "" }] = { 0x10 };
    row.writtenAt = std::chrono::milliseconds(77);
    const RowChange first = write({ "n1/1", row, 0 });
    EXPECT_TRUE(first.isDone);
    EXPECT_TRUE(write({ "n2/2", rowOf({ 5 }), 0 }).isDone);
    EXPECT_EQ(read().size(), 2U);
    EXPECT_EQ(read().at("n1/1"), row);
    EXPECT_TRUE(write({ "n3/3", rowOf({ 6 }), 0 }).isDone);
    EXPECT_TRUE(remove({ "n2/2" }));
    EXPECT_EQ(read().size(), 2U);
    EXPECT_TRUE(write({ "n1/1", {}, first.version }).isDone);
    EXPECT_EQ(read().size(), 1U);
    EXPECT_EQ(read().count("n3/3"), 1U);
}

// Guards against a write that is carried out late taking the place of a later one.
TEST_F(StoredOriginTest, RowIsChangedOnlyAtTheVersionThatIsKnown)
{
    const RowChange first = write({ "n1/1", rowOf({ 1 }), 0 });
    const RowChange second = write({ "n1/1", rowOf({ 2 }), first.version });
    ASSERT_TRUE(second.isDone);
    EXPECT_EQ(write({ "n1/1", rowOf({ 1 }), first.version }), (RowChange { false, second.version }));
    EXPECT_EQ(write({ "n1/1", {}, first.version }), (RowChange { false, second.version })) << "a late removal";
    EXPECT_EQ(read().at("n1/1"), rowOf({ 2 }));
    EXPECT_TRUE(write({ "n1/1", {}, second.version }).isDone);
    EXPECT_EQ(write({ "n1/1", rowOf({ 2 }), second.version }), (RowChange { false, 0 })) << "a write after the removal";
}

// Guards against the rows of lost nodes being removed after they were written again.
TEST_F(StoredOriginTest, RowIsRemovedOnlyAsItWasRead)
{
    const RowChange first = write({ "n1/1", rowOf({ 1 }), 0 });
    read();
    write({ "n1/1", rowOf({ 2 }), first.version });
    EXPECT_FALSE(remove({ "n1/1" }));
    EXPECT_EQ(read().at("n1/1"), rowOf({ 2 }));
    EXPECT_TRUE(remove({ "n1/1" }));
}

// Guards against a node that reads the origins now and then getting every row that was written in between.
TEST_F(StoredOriginTest, OriginsAreReadWithoutTheirEarlierRows)
{
    read();
    StoredOriginRow row = rowOf(std::vector<std::uint64_t>(200));
    const std::size_t rowSize = encodeStoredOrigins(row).size();
    std::uint64_t version = 0;
    for (std::uint64_t number = 0; number < 100; ++number) {
        row.streams.begin()->second.back() = number;
        const RowChange change = write({ "n1/1", row, version });
        ASSERT_TRUE(change.isDone);
        version = change.version;
    }
    const std::uint64_t before = store_.bytesSent();
    read();
    EXPECT_LE(store_.bytesSent() - before, 3 * rowSize);
}

TEST_F(PlatformStoreTest, NotesThatCannotBeReadAreLeftOut)
{
    for (const char *text : { "",
                              "[]",
                              "{",
                              R"({"versions":{},"since_ms":0,"routes":"1","routes_since_ms":0})",
                              R"({"versions":["v1"],"since_ms":0,"routes":"1","routes_since_ms":0})",
                              R"({"versions":[{"version":1}],"since_ms":0,"routes":"1","routes_since_ms":0})",
                              R"({"versions":[],"since_ms":-1,"routes":"1","routes_since_ms":0})",
                              R"({"versions":[],"since_ms":0,"routes":"x","routes_since_ms":0})",
                              R"({"versions":[],"since_ms":0,"routes":"1"})" }) {
        store_.put("versions", "engines", text);
        EXPECT_TRUE(readNotes().pools.empty()) << text;
    }
}

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

TEST_F(PlatformStoreTest, TableIsReadToItsEndThoughTheStoreRefusesManyCalls)
{
    constexpr int Upstreams = 2400;
    for (int number = 0; number < Upstreams; ++number) {
        store_.put("servers", "i-" + std::to_string(number), upstreamRow(4));
    }
    store_.refuseEverySecondCall(true);
    Result<StoredUpstreams> read = readUpstreams();
    EXPECT_FALSE(succeeded(read));
    store_.remove("servers", "i-0");
    store_.put("servers", "i-1", upstreamRow(5));
    for (int attempt = 0; attempt < 10 && !succeeded(read); ++attempt) {
        read = readUpstreams();
    }
    ASSERT_TRUE(succeeded(read));
    EXPECT_EQ(valueOf(read).upstreams.size(), static_cast<std::size_t>(Upstreams - 1));
    EXPECT_EQ(valueOf(read).upstreams.at(0).name, UpstreamName("i-1"));
    EXPECT_EQ(valueOf(read).upstreams.at(0).seats, 5U);
}

TEST_F(PlatformStoreTest, ReadsStateTheEraAndTheVersions)
{
    store_.put("op", "config", "{\"version\":3}");
    store_.put("op", "other", "{}");
    StoredConfiguration read = valueOf(readConfiguration());
    EXPECT_EQ(read.rowVersion, 1U);
    EXPECT_EQ(read.state, (StoreState { 0, 2 }));
    ASSERT_TRUE(read.state.clock.has_value());
    const Duration clock = *read.state.clock;
    store_.copy();
    store_.put("op", "config", "{\"version\": 3}");
    EXPECT_EQ(valueOf(readConfiguration()).rowVersion, 3U);
    EXPECT_NE(valueOf(readConfiguration()).configuration->id(), read.configuration->id());
    store_.restore();
    read = valueOf(readConfiguration());
    EXPECT_EQ(read.rowVersion, 1U);
    EXPECT_EQ(read.state, (StoreState { 1, 2 }));
    EXPECT_GE(read.state.clock, clock);
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

TEST_F(PlatformStoreTest, ReadOfALargeRowIsNotGivenUpWhileItArrives)
{
    store_.put("op", "config", configurationWithRoutes(3, 4000));
    constexpr std::uint64_t BytesPerSecond = 1000 * 1000;
    store_.setLinkRate(BytesPerSecond);
    EXPECT_EQ(valueOf(readConfiguration()).configuration->routes.size(), 4000U);
    EXPECT_GT(store_.bytesSent(), BytesPerSecond / 2);
    EXPECT_EQ(store_.calls(), 1U);
}

TEST_F(PlatformStoreTest, ReadThatStallsInTheMiddleFails)
{
    store_.put("op", "config", configurationWithRoutes(3, 4000));
    store_.setLinkRate(1000 * 1000);
    std::optional<Result<StoredConfiguration>> result;
    client_.readConfiguration(Duration(0), [&](Result<StoredConfiguration> read) { result = std::move(read); });
    ASSERT_TRUE(loop_.runUntil([&]() { return store_.bytesSent() > 100000; }));
    store_.setLinkRate(1);
    ASSERT_TRUE(loop_.runUntil([&]() { return result.has_value(); }));
    EXPECT_EQ(errorOf(*result).code, ResultCode::TableUnavailable);
}

TEST_F(PlatformStoreTest, WhatHasNotChangedIsNotTransferredAgain)
{
    store_.put("op", "config", configurationWithRoutes(3, 1400));
    for (int number = 0; number < 100; ++number) {
        store_.put("servers", "i-" + std::to_string(number), upstreamRow(4));
    }
    const StoredConfiguration first = valueOf(readConfiguration());
    readUpstreams();
    const std::uint64_t before = store_.bytesSent();
    EXPECT_EQ(valueOf(readConfiguration()).configuration, first.configuration);
    EXPECT_EQ(valueOf(readUpstreams()).upstreams.size(), 100U);
    EXPECT_LT(store_.bytesSent() - before, 1000U);
    store_.put("servers", "i-7", upstreamRow(5));
    EXPECT_EQ(valueOf(readUpstreams()).upstreams.size(), 100U);
    EXPECT_LT(store_.bytesSent() - before, 2000U);
}

TEST_F(PlatformStoreTest, ReadWaitsForTheNextChange)
{
    store_.put("op", "config", "{\"version\":3}");
    readConfiguration();
    std::optional<Result<StoredConfiguration>> result;
    client_.readConfiguration(std::chrono::seconds(10),
                              [&](Result<StoredConfiguration> read) { result = std::move(read); });
    ASSERT_TRUE(loop_.runUntil([&]() { return store_.calls() == 2; }));
    EXPECT_FALSE(result.has_value());
    store_.put("op", "config", "{\"version\":4}");
    ASSERT_TRUE(loop_.runUntil([&]() { return result.has_value(); }));
    EXPECT_EQ(valueOf(*result).configuration->version, ConfigurationVersion(4));
}

TEST_F(PlatformStoreTest, UpstreamsFollowTheStoreThroughDroppedHistoryAndRestorations)
{
    RandomSource random(7);
    store_.copy();
    for (int step = 0; step < 400; ++step) {
        const std::string key = "i-" + std::to_string(random.below(40));
        switch (random.below(12)) {
        case 0:
            store_.dropHistory();
            break;
        case 1:
            store_.copy();
            break;
        case 2:
            store_.restore();
            break;
        case 3:
            store_.put("servers", key, "junk");
            break;
        case 4:
        case 5:
            store_.remove("servers", key);
            break;
        default:
            store_.put("servers", key, upstreamRow(1 + random.below(9)));
            break;
        }
        if (random.below(3) != 0) {
            continue;
        }
        PlatformStore other(loop_.context(), store_.address(), std::chrono::milliseconds(200));
        std::optional<Result<StoredUpstreams>> whole;
        other.readUpstreams([&](Result<StoredUpstreams> read) { whole = std::move(read); });
        ASSERT_TRUE(loop_.runUntil([&]() { return whole.has_value(); }));
        const StoredUpstreams followed = valueOf(readUpstreams());
        ASSERT_EQ(followed.upstreams, valueOf(*whole).upstreams) << "step " << step;
        ASSERT_EQ(followed.state, valueOf(*whole).state) << "step " << step;
    }
}

TEST_F(PlatformStoreTest, ChangeThatTheFeedHidBeforeItsHistoryWasDroppedIsNotMissed)
{
    store_.put("servers", "i-1", upstreamRow(4));
    ASSERT_EQ(valueOf(readUpstreams()).upstreams.size(), 1U);
    store_.hideChanges(true);
    store_.remove("servers", "i-1");
    store_.put("servers", "i-2", upstreamRow(4));
    readUpstreams();
    store_.dropHistory();
    store_.hideChanges(false);
    EXPECT_EQ(valueOf(readUpstreams()).upstreams.at(0).name, UpstreamName("i-2"));
}

} // namespace
} // namespace GeraniumLever
