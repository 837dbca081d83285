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

TEST(CatalogTest, RemovalDeletesTheEntityAndItsKeys)
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

TEST(CatalogTest, DigestReflectsReplacementAndRemoval)
{
    Team heavier = teamWithKey("a", "1");
    heavier.weight = 7;
    const Catalog start = Catalog().withChanges({ teamWithKey("a", "1") }, TicketNumber(1));
    const Catalog replaced = start.withChanges({ heavier }, TicketNumber(2));
    const Catalog removed = replaced.withChanges({ Removal { EntityKind::Team, "a" } }, TicketNumber(3));
    EXPECT_NE(replaced.digest(), start.digest());
    EXPECT_EQ(removed.digest(), Catalog().digest());
}

TEST(CatalogTest, EarlierCatalogKeepsItsKeysWhenATeamChangesThem)
{
    const Catalog before = Catalog().withChanges({ teamWithKey("a", "old") }, TicketNumber(1));
    const Catalog after = before.withChanges({ teamWithKey("a", "new") }, TicketNumber(2));
    EXPECT_NE(before.teamByKeyHash("old"), nullptr);
    EXPECT_EQ(after.teamByKeyHash("old"), nullptr);
    EXPECT_NE(after.teamByKeyHash("new"), nullptr);
}

} // namespace
} // namespace GeraniumLever
