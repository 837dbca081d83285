#include "core/core.h"

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

Team teamWithKey(const std::string &name, const std::string &keyHash)
{
    Team team;
    team.name = TeamName(name);
    team.keyHashes = { keyHash };
    return team;
}

TEST(CatalogTest, AppliesAllChangesOfATicketAtOnce)
{
    Pool pool;
    pool.name = PoolName("letters");
    pool.model = ModelName("large");
    const Catalog catalog = Catalog().withChanges({ pool, teamWithKey("branch", "ab") }, TicketNumber(3));
    EXPECT_EQ(catalog.head(), TicketNumber(3));
    ASSERT_NE(catalog.poolForModel(ModelName("large")), nullptr);
    ASSERT_NE(catalog.teamByKeyHash("ab"), nullptr);
    EXPECT_EQ(catalog.teamByKeyHash("ab")->name, TeamName("branch"));
}

TEST(CatalogTest, RemovalForgetsTheEntityAndItsKeys)
{
    const Catalog before = Catalog().withChanges({ teamWithKey("branch", "ab") }, TicketNumber(1));
    const Catalog after = before.withChanges({ Removal { EntityKind::Team, "branch" } }, TicketNumber(2));
    EXPECT_EQ(after.teamByKeyHash("ab"), nullptr);
    EXPECT_NE(before.teamByKeyHash("ab"), nullptr);
}

TEST(CatalogTest, DigestDependsOnContentAndNotOnHistory)
{
    const Catalog direct = Catalog().withChanges({ teamWithKey("a", "1"), teamWithKey("b", "2") }, TicketNumber(9));
    const Catalog stepped = Catalog()
                                .withChanges({ teamWithKey("b", "2") }, TicketNumber(4))
                                .withChanges({ teamWithKey("a", "1") }, TicketNumber(7));
    EXPECT_EQ(direct.digest(), stepped.digest());
    EXPECT_NE(direct.digest(), Catalog().digest());
}

} // namespace
} // namespace GeraniumLever
