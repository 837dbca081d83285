#include "servers/routing/routing.h"

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

Route routeOf(const std::string &name, const std::string &host, const std::string &prefix)
{
    Route route;
    route.name = name;
    route.host = host;
    route.pathPrefix = prefix;
    route.pools = { { PoolName("p"), 1 } };
    return route;
}

class RouteTableTest : public testing::Test
{
protected:
    RouteTableTest()
    {
        SiteConfiguration configuration;
        configuration.routes = { routeOf("wide", "a.example", "/x/"),
                                 routeOf("narrow", "a.example", "/x/y/"),
                                 routeOf("root", "b.example", "/") };
        configuration.teams = { { TeamName("one"), { "k1", "k2" }, std::nullopt } };
        table_ = std::make_unique<RouteTable>(std::make_shared<const SiteConfiguration>(configuration));
    }

    std::string match(const std::string &host, const std::string &path) const
    {
        const Route *route = table_->match(host, path);
        return route == nullptr ? "none" : route->name;
    }

    std::unique_ptr<RouteTable> table_;
};

TEST_F(RouteTableTest, LongestPrefixWins)
{
    EXPECT_EQ(match("a.example", "/x/1"), "wide");
    EXPECT_EQ(match("a.example", "/x/y/1"), "narrow");
    EXPECT_EQ(match("a.example", "/x/y"), "wide");
    EXPECT_EQ(match("a.example", "/x/yz/1"), "wide");
}

TEST_F(RouteTableTest, PathsOutsideEveryPrefixDoNotMatch)
{
    EXPECT_EQ(match("a.example", "/x"), "none");
    EXPECT_EQ(match("a.example", "/"), "none");
    EXPECT_EQ(match("a.example", "*"), "none");
    EXPECT_EQ(match("a.example", ""), "none");
    EXPECT_EQ(match("c.example", "/x/1"), "none");
}

TEST_F(RouteTableTest, HostMatchIgnoresCaseAndPort)
{
    EXPECT_EQ(match("B.Example:8080", "/anything"), "root");
}

TEST_F(RouteTableTest, KeyIdentifiesItsTeam)
{
    ASSERT_NE(table_->teamOf("k2"), nullptr);
    EXPECT_EQ(table_->teamOf("k2")->name, TeamName("one"));
    EXPECT_EQ(table_->teamOf(""), nullptr);
    EXPECT_EQ(table_->teamOf("k3"), nullptr);
}

} // namespace
} // namespace GeraniumLever
