#include "drivers/store/table_codec.h"

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

TEST(TableCodecTest, SplitsKeysAtTheFirstSlash)
{
    EXPECT_EQ(splitTableKey("ticket/0000000012"), (TableKey { "ticket", "0000000012" }));
    EXPECT_EQ(splitTableKey("claim/team/key"), (TableKey { "claim", "team/key" }));
    EXPECT_EQ(splitTableKey("head"), (TableKey { "head", "-" }));
}

TEST(TableCodecTest, EncodesEveryKindOfWrite)
{
    using Action = TableWrite::Action;
    using Kind = TableCondition::Kind;
    TableTransaction transaction;
    transaction.writes = { { Action::Put, "a/1", "text", { Kind::Absent, 0 } },
                           { Action::Put, "a/2", "text", {} },
                           { Action::Remove, "a/3", "", { Kind::VersionIs, 7 } },
                           { Action::Check, "a/4", "", { Kind::VersionIs, 8 } } };
    const std::string body = encodeTransaction(transaction);
    const std::string expected =
        R"j({"TransactItems":[{"Update":{"TableName":"geranium","Key":{"pk":{"S":"a"},"sk":{"S":"1"}},)j"
        R"j("UpdateExpression":"SET d = :d ADD v :one","ConditionExpression":"attribute_not_exists(pk)",)j"
        R"j("ExpressionAttributeValues":{":d":{"S":"text"},":one":{"N":"1"}}}},)j"
        R"j({"Update":{"TableName":"geranium","Key":{"pk":{"S":"a"},"sk":{"S":"2"}},)j"
        R"j("UpdateExpression":"SET d = :d ADD v :one",)j"
        R"j("ExpressionAttributeValues":{":d":{"S":"text"},":one":{"N":"1"}}}},)j"
        R"j({"Delete":{"TableName":"geranium","Key":{"pk":{"S":"a"},"sk":{"S":"3"}},"ConditionExpression":"v = :v",)j"
        R"j("ExpressionAttributeValues":{":v":{"N":"7"}}}},)j"
        R"j({"ConditionCheck":{"TableName":"geranium","Key":{"pk":{"S":"a"},"sk":{"S":"4"}},)j"
        R"j("ConditionExpression":"v = :v","ExpressionAttributeValues":{":v":{"N":"8"}}}}]})j";
    EXPECT_EQ(body, expected);
}

TEST(TableCodecTest, ScansTheRangeOfThePrefixAfterTheLastKey)
{
    const std::string first = encodeScan({ OperationId(1), "ticket/", "", 10 }, 10);
    EXPECT_NE(first.find(R"(":a":{"S":"\u0001"})"), std::string::npos);
    EXPECT_NE(first.find(R"("Limit":10)"), std::string::npos);
    const std::string next = encodeScan({ OperationId(1), "ticket/", "ticket/12", 10 }, 3);
    EXPECT_NE(next.find(R"(":a":{"S":"12\u0001"})"), std::string::npos);
    EXPECT_NE(next.find(R"(":p":{"S":"ticket"})"), std::string::npos);
}

TEST(TableCodecTest, DecodesRowsAndOmitsAbsentOnes)
{
    const std::optional<std::vector<TableRow>> rows =
        decodeGet(R"({"Responses":[{"Item":{"pk":{"S":"head"},"sk":{"S":"-"},"v":{"N":"3"},"d":{"S":"x"}}},{}]})");
    ASSERT_TRUE(rows.has_value());
    EXPECT_EQ(*rows, (std::vector<TableRow> { { "head", "x", 3 } }));
    EXPECT_FALSE(decodeGet(R"({"Responses":[{"Item":{"pk":{"S":"head"}}}]})").has_value());
    EXPECT_FALSE(decodeGet("<html>").has_value());
}

TEST(TableCodecTest, RecognizesAPartialScan)
{
    const std::optional<ScanPage> page =
        decodeScan(R"({"Items":[{"pk":{"S":"t"},"sk":{"S":"1"},"v":{"N":"1"},"d":{"S":"x"}}],)"
                   R"("LastEvaluatedKey":{"pk":{"S":"t"},"sk":{"S":"1"}}})");
    ASSERT_TRUE(page.has_value());
    EXPECT_EQ(*page, (ScanPage { { { "t/1", "x", 1 } }, true }));
}

TEST(TableCodecTest, MapsResponsesToStoreStatus)
{
    const std::string conditionFailed =
        R"({"__type":"x#TransactionCanceledException","CancellationReasons":[{"Code":"None"},)"
        R"({"Code":"ConditionalCheckFailed"}]})";
    const std::string conflict =
        R"({"__type":"x#TransactionCanceledException","CancellationReasons":[{"Code":"TransactionConflict"}]})";
    EXPECT_EQ(writeStatus(200, "{}"), StoreStatus::Done);
    EXPECT_EQ(writeStatus(400, conditionFailed), StoreStatus::ConditionFailed);
    EXPECT_EQ(writeStatus(400, conflict), StoreStatus::Unavailable);
    EXPECT_EQ(writeStatus(400, R"({"__type":"x#ThrottlingException"})"), StoreStatus::Unavailable);
    EXPECT_EQ(writeStatus(503, ""), StoreStatus::Unavailable);
    EXPECT_EQ(writeStatus(500, ""), StoreStatus::Ambiguous);
    EXPECT_EQ(readStatus(500), StoreStatus::Unavailable);
}

} // namespace
} // namespace GeraniumLever
