#include <boost/json.hpp>
#include <gtest/gtest.h>

#include "development/standins/standins.h"

namespace GeraniumLever {
namespace {

std::string update(const std::string &sort,
                   const std::string &data,
                   const std::string &condition = "",
                   const std::string &version = "0")
{
    std::string text = R"({"Update":{"TableName":"geranium","Key":{"pk":{"S":"p"},"sk":{"S":")" + sort
        + R"("}},"UpdateExpression":"SET d = :d ADD v :one","ExpressionAttributeValues":{":d":{"S":")" + data
        + R"("},":one":{"N":"1"},":v":{"N":")" + version + R"("}})";
    if (!condition.empty()) {
        text += R"(,"ConditionExpression":")" + condition + "\"";
    }
    return text + "}}";
}

class TableProtocolTest : public testing::Test
{
protected:
    TableAnswer write(const std::string &items)
    {
        return protocol_.handle("DynamoDB_20120810.TransactWriteItems", R"({"TransactItems":[)" + items + "]}");
    }

    std::string query(const std::string &limit)
    {
        return protocol_
            .handle("DynamoDB_20120810.Query",
                    R"({"TableName":"geranium","KeyConditionExpression":"pk = :p AND sk BETWEEN :a AND :b",)"
                    R"("ExpressionAttributeValues":{":p":{"S":"p"},":a":{"S":"a"},":b":{"S":"y"}},"Limit":)"
                        + limit + "}")
            .body;
    }

    TableProtocol protocol_;
};

TEST_F(TableProtocolTest, AFailedConditionKeepsTheWholeTransactionFromTakingEffect)
{
    EXPECT_EQ(write(update("b", "1", "attribute_not_exists(pk)")).status, 200U);
    TableAnswer answer = write(update("c", "2") + "," + update("b", "3", "attribute_not_exists(pk)"));
    EXPECT_EQ(answer.status, 400U);
    boost::json::object error = boost::json::parse(answer.body).get_object();
    EXPECT_EQ(error["__type"], "com.amazonaws.dynamodb.v20120810#TransactionCanceledException");
    EXPECT_EQ(error["CancellationReasons"].at(0).at("Code"), "None");
    EXPECT_EQ(error["CancellationReasons"].at(1).at("Code"), "ConditionalCheckFailed");
    EXPECT_EQ(boost::json::parse(query("10")).at("Count"), 1);
}

TEST_F(TableProtocolTest, VersionsGrowWithEveryWrite)
{
    write(update("b", "1"));
    EXPECT_EQ(write(update("b", "2", "v = :v", "1")).status, 200U);
    EXPECT_EQ(write(update("b", "3", "v = :v", "1")).status, 400U);
    boost::json::value item = boost::json::parse(query("10")).at("Items").at(0);
    EXPECT_EQ(item.at("d").at("S"), "2");
    EXPECT_EQ(item.at("v").at("N"), "2");
}

TEST_F(TableProtocolTest, AQueryReturnsItsRangeInOrderUpToTheLimit)
{
    write(update("c", "2") + "," + update("b", "1") + "," + update("z", "3"));
    boost::json::object all = boost::json::parse(query("3")).get_object();
    EXPECT_EQ(all["Count"], 2);
    EXPECT_EQ(all["Items"].at(0).at("sk").at("S"), "b");
    EXPECT_FALSE(all.contains("LastEvaluatedKey"));
    boost::json::object part = boost::json::parse(query("1")).get_object();
    EXPECT_EQ(part["Count"], 1);
    EXPECT_EQ(part["LastEvaluatedKey"].at("sk").at("S"), "b");
}

TEST_F(TableProtocolTest, ReadsAndRemovesItems)
{
    write(update("b", "1"));
    std::string key = R"("TableName":"geranium","Key":{"pk":{"S":"p"},"sk":{"S":"b"}}})";
    std::string get = R"({"TransactItems":[{"Get":{)" + key + "}]}";
    EXPECT_NE(protocol_.handle("DynamoDB_20120810.TransactGetItems", get).body.find("Item"), std::string::npos);
    EXPECT_EQ(write(R"({"Delete":{)" + key + "}").status, 200U);
    EXPECT_EQ(protocol_.handle("DynamoDB_20120810.TransactGetItems", get).body, R"({"Responses":[{}]})");
}

TEST_F(TableProtocolTest, RefusesWhatTheServiceWouldNotAccept)
{
    EXPECT_NE(write(update("b", "1") + "," + update("b", "2")).body.find("ValidationException"), std::string::npos);
    EXPECT_NE(write("").body.find("ValidationException"), std::string::npos);
    EXPECT_NE(write(update("b", "1", "v > :v")).body.find("ValidationException"), std::string::npos);
    EXPECT_EQ(boost::json::parse(query("10")).at("Count"), 0);
}

} // namespace
} // namespace GeraniumLever
