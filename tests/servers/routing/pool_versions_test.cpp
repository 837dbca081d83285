#include "servers/routing/routing.h"

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class PoolVersionsTest : public testing::Test
{
protected:
    void serve(const std::string &name, const std::string &version, const std::string &pool = "engines")
    {
        UpstreamEntry entry;
        entry.name = UpstreamName(name);
        entry.pool = PoolName(pool);
        entry.version = version;
        entries_.put(entry.name, entry);
    }

    /** Passes the list once a second. */
    void listFor(int count)
    {
        for (int second = 0; second < count; ++second) {
            now_ += seconds(1);
            versions_.update(entries_, now_);
        }
    }

    std::optional<std::string> onlyVersion() const
    {
        return versions_.onlyVersion(PoolName("engines"), seconds(10), now_ + milliseconds(500));
    }

    Table<UpstreamName, UpstreamEntry> entries_;
    PoolVersions versions_;
    TimePoint now_ { seconds(1000) };
};

TEST_F(PoolVersionsTest, VersionIsKnownOnceItHasBeenAloneForTheDuration)
{
    serve("a", "v1");
    serve("b", "v1");
    serve("other", "v9", "plain");
    listFor(10);
    EXPECT_EQ(onlyVersion(), std::nullopt);
    listFor(1);
    EXPECT_EQ(onlyVersion(), "v1");
}

TEST_F(PoolVersionsTest, VersionsThatServeTogetherAreNotTakenForOne)
{
    serve("a", "v1");
    listFor(11);
    serve("b", "v2");
    listFor(1);
    EXPECT_EQ(onlyVersion(), std::nullopt);
    entries_.erase(UpstreamName("b"));
    listFor(10);
    EXPECT_EQ(onlyVersion(), std::nullopt);
    listFor(1);
    EXPECT_EQ(onlyVersion(), "v1");
}

TEST_F(PoolVersionsTest, SuccessorOfAVersionIsUnknownUntilTheOldStreamsHaveEnded)
{
    serve("a", "v1");
    listFor(11);
    entries_.clear();
    serve("b", "v2");
    listFor(10);
    EXPECT_EQ(onlyVersion(), std::nullopt);
    listFor(1);
    EXPECT_EQ(onlyVersion(), "v2");
}

TEST_F(PoolVersionsTest, OutdatedListProvesNothing)
{
    serve("a", "v1");
    listFor(11);
    now_ += seconds(5);
    EXPECT_EQ(onlyVersion(), std::nullopt);
    listFor(2);
    EXPECT_EQ(onlyVersion(), std::nullopt) << "another version may have come and gone";
}

} // namespace
} // namespace GeraniumLever
