#include "servers/tickets/tickets.h"

#include <gtest/gtest.h>

#include "servers/tickets/ticket_chain.h"

namespace GeraniumLever {
namespace {

constexpr const char *KeyHash = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa";

constexpr const char *FirstTicket = R"(number: 1
author: ada
changes:
  - { kind: class, name: live, tier: 0, first_token_target_ms: 300 }
  - { kind: class, name: debit, tier: 1, idempotent: false }
  - kind: team
    name: branch
    weight: 3
    key_hashes: [aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa]
    classes: [live, debit]
  - { kind: model, name: large, version: v2 }
  - { kind: pool, name: letters, model: large, minimum_ready: 2 }
  - { kind: upstream, name: gpu-1, pool: letters, data_center: north, address: "127.0.0.1:9000", seats: 4 }
)";

Ticket parsed(const std::string &text)
{
    const std::variant<Ticket, std::vector<Fault>> result = parseTicket(text);
    if (const std::vector<Fault> *faults = std::get_if<std::vector<Fault>>(&result)) {
        ADD_FAILURE() << formatFaults(*faults);
        return Ticket();
    }
    return std::get<Ticket>(result);
}

std::string faultsOf(const std::string &text)
{
    const std::variant<Ticket, std::vector<Fault>> result = parseTicket(text);
    return std::holds_alternative<Ticket>(result) ? std::string() : formatFaults(std::get<std::vector<Fault>>(result));
}

Catalog catalogOf(const std::string &text)
{
    const Ticket ticket = parsed(text);
    return Catalog().withChanges(ticket.changes, ticket.number);
}

TEST(TicketTextTest, ReadsEveryKindOfEntity)
{
    const Catalog catalog = catalogOf(FirstTicket);
    EXPECT_EQ(catalog.classes().find(ClassName("live"))->firstTokenTarget, std::chrono::milliseconds(300));
    EXPECT_FALSE(catalog.classes().find(ClassName("debit"))->idempotent);
    EXPECT_EQ(catalog.teamByKeyHash(KeyHash)->weight, 3U);
    EXPECT_EQ(catalog.poolForModel(ModelName("large"))->minimumReady, 2U);
    EXPECT_EQ(catalog.upstreams().find(UpstreamName("gpu-1"))->address, "127.0.0.1:9000");
}

TEST(TicketTextTest, CanonicalTextIsIdenticalForEqualTicketsAndParsesBack)
{
    Ticket ticket = parsed(FirstTicket);
    EXPECT_EQ(parsed(canonicalText(ticket)), ticket);
    Ticket reordered = ticket;
    std::swap(reordered.changes.front(), reordered.changes.back());
    EXPECT_EQ(canonicalText(reordered), canonicalText(ticket));
    ticket.author = "quote \" back \\ tab \t end";
    EXPECT_EQ(parsed(canonicalText(ticket)).author, ticket.author);
}

TEST(TicketTextTest, ReadsJson)
{
    const Ticket ticket = parsed(R"({"number": 2, "author": "b", "based_on": 1,
        "changes": [{"kind": "model", "name": "large", "absent": true}]})");
    EXPECT_EQ(ticket.basedOn, TicketNumber(1));
    EXPECT_EQ(ticket.changes, (std::vector<EntityChange> { Removal { EntityKind::Model, "large" } }));
}

TEST(TicketTextTest, ParsingReportsEveryFaultOfTheText)
{
    const std::string faults = faultsOf("number: 0\n"
                                        "based_on: 3\n"
                                        "changes:\n"
                                        "  - { kind: robot, name: x }\n"
                                        "  - { kind: pool, name: \"a b\", model: m, colour: red }\n"
                                        "  - { kind: team, name: t, weight: many }\n"
                                        "  - { kind: team, name: t, absent: true, weight: 1 }\n");
    for (const char *expected : { "line 1: ticket: number must be above 0",
                                  "ticket: author is missing",
                                  "line 2: ticket: based_on must be below number",
                                  "line 4: change 1: kind must be",
                                  "line 5: change 2: name must be",
                                  "line 5: pool a b: unknown field colour",
                                  "line 6: team t: weight must be a whole number",
                                  "line 7: team t: unknown field weight",
                                  "line 7: team t: is changed twice" }) {
        EXPECT_NE(faults.find(expected), std::string::npos) << expected << " in\n" << faults;
    }
    EXPECT_FALSE(faultsOf("").empty());
    EXPECT_FALSE(faultsOf("number: 1\nauthor: a\nchanges: []\n").empty());
}

TEST(TicketTextTest, ValidationReportsEveryFaultAgainstTheCatalog)
{
    const Catalog catalog = catalogOf(FirstTicket);
    const Ticket ticket = parsed(R"(number: 2
author: b
changes:
  - { kind: class, name: live, absent: true }
  - { kind: class, name: bulk, guaranteed_per_mille: 1001 }
  - { kind: team, name: other, key_hashes: [aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa] }
  - { kind: pool, name: letters, absent: true }
  - { kind: pool, name: second, model: unknown }
  - { kind: pool, name: third }
  - { kind: upstream, name: gpu-2, pool: nowhere, data_center: north, address: here }
  - { kind: model, name: never, absent: true }
)");
    const std::string faults = formatFaults(validateTicket(ticket, catalog));
    for (const char *expected : { "team branch: names the unknown class live",
                                  "class bulk: guaranteed_per_mille must not be above 1000",
                                  "team other: has a key that also belongs to team branch",
                                  "upstream gpu-1: belongs to the unknown pool letters",
                                  "pool second: serves the unknown model unknown",
                                  "pool third: needs either a model or a service",
                                  "upstream gpu-2: belongs to the unknown pool nowhere",
                                  "upstream gpu-2: address must have the form",
                                  "model never: cannot be removed" }) {
        EXPECT_NE(faults.find(expected), std::string::npos) << expected << " in\n" << faults;
    }
    EXPECT_TRUE(validateTicket(parsed(FirstTicket), Catalog()).empty());
}

TEST(TicketTextTest, DifferencesNameAddedRemovedAndChangedFields)
{
    const Ticket ticket = parsed(R"(number: 2
author: b
changes:
  - { kind: model, name: large, version: v3 }
  - { kind: model, name: small }
  - { kind: upstream, name: gpu-1, absent: true }
)");
    const std::vector<std::string> lines = differences(ticket, catalogOf(FirstTicket));
    const std::vector<std::string> expected { "~ model large version: \"v2\" -> \"v3\"", "+ model small" };
    EXPECT_TRUE(std::equal(expected.begin(), expected.end(), lines.begin()));
    EXPECT_NE(std::find(lines.begin(), lines.end(), "- upstream gpu-1"), lines.end());
}

TicketRecord recordOf(std::uint64_t number, std::uint64_t previous, const std::string &changes)
{
    return TicketRecord { TicketNumber(number),
                          TicketNumber(previous),
                          StoreEpoch(9),
                          "number: " + std::to_string(number) + "\nauthor: a\nchanges: [" + changes + "]\n" };
}

TEST(TicketChainTest, RefusesGapsForksOtherEpochsAndLowerSnapshots)
{
    TicketChain chain;
    const TicketRecord first = recordOf(1, 0, "{kind: model, name: m}");
    EXPECT_EQ(chain.apply(recordOf(5, 3, "{kind: model, name: m}")), ApplyResult::Gap);
    EXPECT_EQ(chain.apply(first), ApplyResult::Done);
    const Snapshot old = chain.snapshot();
    EXPECT_EQ(chain.apply(first), ApplyResult::AlreadyApplied);
    EXPECT_EQ(chain.apply(recordOf(1, 0, "{kind: model, name: other}")), ApplyResult::Fork);
    EXPECT_EQ(chain.apply(recordOf(5, 1, "{kind: model, name: n}")), ApplyResult::Done);
    EXPECT_EQ(chain.apply(recordOf(6, 1, "{kind: model, name: o}")), ApplyResult::Fork);
    TicketRecord foreign = recordOf(7, 5, "{kind: model, name: o}");
    foreign.epoch = StoreEpoch(8);
    EXPECT_EQ(chain.apply(foreign), ApplyResult::EpochMismatch);
    EXPECT_EQ(chain.apply(TicketRecord { TicketNumber(7), TicketNumber(5), StoreEpoch(9), "?" }),
              ApplyResult::Unreadable);
    EXPECT_EQ(chain.install(old), ApplyResult::AlreadyApplied);
    EXPECT_EQ(chain.head(), TicketNumber(5));
    EXPECT_EQ(chain.catalog()->models().size(), 2U);
}

TEST(TicketChainTest, LastChangesSurviveASnapshot)
{
    TicketChain chain;
    chain.apply(recordOf(1, 0, "{kind: model, name: m}, {kind: model, name: n}"));
    chain.apply(recordOf(4, 1, "{kind: model, name: m, version: v}"));
    chain.apply(recordOf(6, 4, "{kind: model, name: n, absent: true}"));
    TicketChain restored;
    EXPECT_EQ(restored.install(chain.snapshot()), ApplyResult::Done);
    EXPECT_EQ(restored.digest(), chain.digest());
    const Ticket ticket = parsed("number: 9\nauthor: a\nchanges: [{kind: model, name: m}, {kind: model, name: n}]\n");
    const std::vector<std::string> expected { "model m was changed by ticket 4", "model n was removed by ticket 6" };
    EXPECT_EQ(restored.describeChangesSince(ticket, TicketNumber(3)), expected);
    EXPECT_TRUE(restored.describeChangesSince(ticket, TicketNumber(6)).empty());
    EXPECT_EQ(restored.snapshot(), chain.snapshot());
}

TEST(TicketChainTest, KeepsABoundedNumberOfRecordsAndRemovals)
{
    TicketChain chain;
    for (std::uint64_t number = 1; number <= 10'500; ++number) {
        const std::string change = "{kind: model, name: m" + std::to_string(number) + "}, {kind: model, name: m"
            + std::to_string(number - 1) + ", absent: true}";
        ASSERT_EQ(chain.apply(recordOf(number, number - 1, change)), ApplyResult::Done);
    }
    EXPECT_FALSE(chain.recordsAfter(TicketNumber(499)).has_value());
    EXPECT_EQ(chain.recordsAfter(TicketNumber(500))->front().number, TicketNumber(501));
    EXPECT_EQ(chain.countAfter(TicketNumber()), 10'000U);
    const Ticket ticket = parsed("number: 11000\nauthor: a\nchanges: [{kind: model, name: m100}]\n");
    EXPECT_EQ(chain.describeChangesSince(ticket, TicketNumber(50)).size(), 1U);
    EXPECT_TRUE(chain.describeChangesSince(ticket, TicketNumber(10'000)).empty());
}

} // namespace
} // namespace GeraniumLever
