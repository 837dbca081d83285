#include "development/standins/table_protocol.h"

#include <algorithm>
#include <limits>
#include <set>
#include <stdexcept>

#include <boost/json.hpp>

namespace GeraniumLever {

namespace {

namespace Json = boost::json;

constexpr std::string_view ErrorPrefix = "com.amazonaws.dynamodb.v20120810#";
constexpr std::string_view TableName = "geranium";
constexpr std::size_t MaxTransactionItems = 100;

/** A request that the service would not accept in any state. */
class ValidationFailure : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

TableAnswer errorAnswer(std::string_view type, std::string_view message, Json::object extra = {})
{
    extra["__type"] = std::string(ErrorPrefix) + std::string(type);
    extra["message"] = message;
    return { 400, Json::serialize(extra) };
}

const Json::object &objectAt(const Json::object &parent, std::string_view name)
{
    const Json::value *value = parent.if_contains(name);
    if (value == nullptr || !value->is_object()) {
        throw ValidationFailure("missing object " + std::string(name));
    }
    return value->get_object();
}

std::string textAt(const Json::object &parent, std::string_view name)
{
    const Json::value *value = parent.if_contains(name);
    if (value == nullptr || !value->is_string()) {
        throw ValidationFailure("missing string " + std::string(name));
    }
    return std::string(value->get_string());
}

const Json::array &transactItems(const Json::object &body)
{
    const Json::value *items = body.if_contains("TransactItems");
    if (items == nullptr || !items->is_array() || items->get_array().empty()) {
        throw ValidationFailure("missing TransactItems");
    }
    if (items->get_array().size() > MaxTransactionItems) {
        throw ValidationFailure("too many items in a transaction");
    }
    return items->get_array();
}

void checkTableName(const Json::object &operation)
{
    if (textAt(operation, "TableName") != TableName) {
        throw ValidationFailure("unknown table");
    }
}

ItemKey readKey(const Json::object &operation)
{
    checkTableName(operation);
    const Json::object &key = objectAt(operation, "Key");
    return { textAt(objectAt(key, "pk"), "S"), textAt(objectAt(key, "sk"), "S") };
}

std::string valueOfName(const Json::object &operation, std::string_view name, std::string_view type)
{
    return textAt(objectAt(objectAt(operation, "ExpressionAttributeValues"), name), type);
}

void readCondition(const Json::object &operation, ItemWrite &write)
{
    if (!operation.contains("ConditionExpression")) {
        return;
    }
    std::string condition = textAt(operation, "ConditionExpression");
    if (condition == "attribute_not_exists(pk)") {
        write.mustBeAbsent = true;
    } else if (condition == "v = :v") {
        write.version = std::stoull(valueOfName(operation, ":v", "N"));
    } else {
        throw ValidationFailure("unknown ConditionExpression: " + condition);
    }
}

ItemWrite readUpdate(const Json::object &operation)
{
    if (textAt(operation, "UpdateExpression") != "SET d = :d ADD v :one"
        || valueOfName(operation, ":one", "N") != "1") {
        throw ValidationFailure("unknown UpdateExpression");
    }
    ItemWrite write;
    write.data = valueOfName(operation, ":d", "S");
    return write;
}

ItemWrite readWrite(const Json::value &item)
{
    if (!item.is_object() || item.get_object().size() != 1) {
        throw ValidationFailure("a transaction's item must hold one operation");
    }
    std::string_view name = item.get_object().begin()->key();
    const Json::object &operation = objectAt(item.get_object(), name);
    ItemWrite write;
    if (name == "Update") {
        write = readUpdate(operation);
    } else if (name == "Delete") {
        write.action = ItemWrite::Action::Delete;
    } else if (name == "ConditionCheck") {
        write.action = ItemWrite::Action::ConditionCheck;
        textAt(operation, "ConditionExpression");
    } else {
        throw ValidationFailure("unknown operation: " + std::string(name));
    }
    write.key = readKey(operation);
    readCondition(operation, write);
    return write;
}

Json::object itemJson(const Item &item)
{
    return { { "pk", { { "S", item.key.partition } } },
             { "sk", { { "S", item.key.sort } } },
             { "v", { { "N", std::to_string(item.version) } } },
             { "d", { { "S", item.data } } } };
}

TableAnswer transactWrite(ItemTable &table, const Json::object &body)
{
    std::vector<ItemWrite> writes;
    std::set<ItemKey> keys;
    for (const Json::value &item : transactItems(body)) {
        writes.push_back(readWrite(item));
        if (!keys.insert(writes.back().key).second) {
            throw ValidationFailure("a transaction cannot have two operations on one item");
        }
    }
    std::vector<bool> held = table.write(writes);
    if (std::find(held.begin(), held.end(), false) == held.end()) {
        return { 200, "{}" };
    }
    Json::array reasons;
    for (bool condition : held) {
        reasons.push_back(Json::object { { "Code", condition ? "None" : "ConditionalCheckFailed" } });
    }
    return errorAnswer(
        "TransactionCanceledException", "Transaction cancelled", { { "CancellationReasons", std::move(reasons) } });
}

TableAnswer transactGet(ItemTable &table, const Json::object &body)
{
    Json::array responses;
    for (const Json::value &entry : transactItems(body)) {
        if (!entry.is_object()) {
            throw ValidationFailure("an item must be an object");
        }
        std::optional<Item> item = table.get(readKey(objectAt(entry.get_object(), "Get")));
        responses.push_back(item ? Json::object { { "Item", itemJson(*item) } } : Json::object {});
    }
    return { 200, Json::serialize(Json::object { { "Responses", std::move(responses) } }) };
}

TableAnswer query(ItemTable &table, const Json::object &body)
{
    checkTableName(body);
    if (textAt(body, "KeyConditionExpression") != "pk = :p AND sk BETWEEN :a AND :b") {
        throw ValidationFailure("unknown KeyConditionExpression");
    }
    const Json::value *limitField = body.if_contains("Limit");
    std::size_t limit =
        limitField == nullptr ? std::numeric_limits<std::size_t>::max() : limitField->to_number<std::size_t>();
    if (limit == 0) {
        throw ValidationFailure("Limit must be at least 1");
    }
    std::vector<Item> items =
        table.query(valueOfName(body, ":p", "S"), valueOfName(body, ":a", "S"), valueOfName(body, ":b", "S"), limit);
    Json::array list;
    for (const Item &item : items) {
        list.push_back(itemJson(item));
    }
    Json::object answer { { "Count", list.size() } };
    if (items.size() == limit) {
        answer["LastEvaluatedKey"] = Json::object { { "pk", { { "S", items.back().key.partition } } },
                                                    { "sk", { { "S", items.back().key.sort } } } };
    }
    answer["Items"] = std::move(list);
    return { 200, Json::serialize(answer) };
}

struct TargetRow
{
    std::string_view target;
    TableAnswer (*handle)(ItemTable &table, const Json::object &body);
};

constexpr TargetRow Targets[] = {
    { "DynamoDB_20120810.TransactWriteItems", transactWrite },
    { "DynamoDB_20120810.TransactGetItems", transactGet },
    { "DynamoDB_20120810.Query", query },
};

} // namespace

TableAnswer TableProtocol::handle(std::string_view target, std::string_view body)
{
    boost::json::error_code error;
    Json::value parsed = Json::parse(body, error);
    if (error || !parsed.is_object()) {
        return errorAnswer("SerializationException", "the body is no JSON object");
    }
    for (const TargetRow &row : Targets) {
        if (row.target != target) {
            continue;
        }
        try {
            return row.handle(table_, parsed.get_object());
        } catch (const std::exception &failure) {
            return errorAnswer("ValidationException", failure.what());
        }
    }
    return errorAnswer("UnknownOperationException", "unknown X-Amz-Target");
}

TableAnswer TableProtocol::overloaded()
{
    return errorAnswer("ProvisionedThroughputExceededException", "too many requests");
}

} // namespace GeraniumLever
