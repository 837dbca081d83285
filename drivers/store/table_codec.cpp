#include "drivers/store/table_codec.h"

#include <algorithm>
#include <iterator>

#include <boost/json.hpp>

namespace GeraniumLever {

namespace json = boost::json;

namespace {

constexpr unsigned HttpOk = 200;
constexpr unsigned HttpBadRequest = 400;
constexpr unsigned HttpClientErrorEnd = 500;
constexpr unsigned HttpServiceUnavailable = 503;

constexpr std::string_view TableName = "geranium";
constexpr std::string_view DefaultSortKey = "-";
/** Sorts before every other sort key. The service does not accept empty keys. */
constexpr std::string_view LowestSortKey = "\x01";
/** U+10FFFF in UTF-8, which sorts after every other character. */
constexpr std::string_view HighestCharacter = "\xF4\x8F\xBF\xBF";

json::object textAttribute(std::string_view text)
{
    return { { "S", text } };
}

json::object numberAttribute(std::uint64_t number)
{
    return { { "N", std::to_string(number) } };
}

json::object keyAttributes(const std::string &key)
{
    const TableKey split = splitTableKey(key);
    return { { "pk", textAttribute(split.partition) }, { "sk", textAttribute(split.sort) } };
}

void addCondition(const TableCondition &condition, json::object &item, json::object &values)
{
    switch (condition.kind) {
    case TableCondition::Kind::None:
        return;
    case TableCondition::Kind::Absent:
        item["ConditionExpression"] = "attribute_not_exists(pk)";
        return;
    case TableCondition::Kind::VersionIs:
        item["ConditionExpression"] = "v = :v";
        values[":v"] = numberAttribute(condition.version);
        return;
    }
}

std::string_view actionName(TableWrite::Action action)
{
    switch (action) {
    case TableWrite::Action::Put:
        return "Update";
    case TableWrite::Action::Remove:
        return "Delete";
    case TableWrite::Action::Check:
        return "ConditionCheck";
    }
    return "ConditionCheck";
}

json::object encodeWrite(const TableWrite &write)
{
    json::object item { { "TableName", TableName }, { "Key", keyAttributes(write.key) } };
    json::object values;
    if (write.action == TableWrite::Action::Put) {
        item["UpdateExpression"] = "SET d = :d ADD v :one";
        values[":d"] = textAttribute(write.value);
        values[":one"] = numberAttribute(1);
    }
    addCondition(write.condition, item, values);
    if (!values.empty()) {
        item["ExpressionAttributeValues"] = std::move(values);
    }
    return { { actionName(write.action), std::move(item) } };
}

const json::object *memberObject(const json::object &object, std::string_view name)
{
    const json::value *member = object.if_contains(name);
    return member == nullptr ? nullptr : member->if_object();
}

/** The text of an attribute of the given type, for example "S". */
std::optional<std::string> attributeText(const json::object &item, std::string_view name, std::string_view type)
{
    const json::object *attribute = memberObject(item, name);
    const json::value *value = attribute == nullptr ? nullptr : attribute->if_contains(type);
    const json::string *text = value == nullptr ? nullptr : value->if_string();
    if (text == nullptr) {
        return std::nullopt;
    }
    return std::string(text->begin(), text->end());
}

std::optional<std::uint64_t> parseNumber(const std::string &text)
{
    constexpr std::size_t MaxDigits = 18;
    const bool valid = !text.empty() && text.size() <= MaxDigits
        && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
    return valid ? std::optional<std::uint64_t>(std::stoull(text)) : std::nullopt;
}

std::optional<TableRow> decodeItem(const json::object &item)
{
    const std::optional<std::string> partition = attributeText(item, "pk", "S");
    const std::optional<std::string> sort = attributeText(item, "sk", "S");
    const std::optional<std::string> value = attributeText(item, "d", "S");
    const std::optional<std::string> versionText = attributeText(item, "v", "N");
    if (!partition || !sort || !value || !versionText) {
        return std::nullopt;
    }
    const std::optional<std::uint64_t> version = parseNumber(*versionText);
    if (!version) {
        return std::nullopt;
    }
    const std::string key = *sort == DefaultSortKey ? *partition : *partition + "/" + *sort;
    return TableRow { key, *value, *version };
}

/** Returns a copy of the named array; `document` receives the parsed text. */
std::optional<json::array> parseArrayMember(std::string_view text, std::string_view name, json::value &document)
{
    boost::system::error_code fault;
    document = json::parse(text, fault);
    if (fault || !document.is_object()) {
        return std::nullopt;
    }
    const json::value *member = document.get_object().if_contains(name);
    if (member == nullptr || !member->is_array()) {
        return std::nullopt;
    }
    return member->get_array();
}

bool isConditionFailure(const json::value &reason)
{
    const json::object *object = reason.if_object();
    const json::value *code = object == nullptr ? nullptr : object->if_contains("Code");
    return code != nullptr && code->is_string() && code->get_string() == "ConditionalCheckFailed";
}

bool hasConditionFailure(std::string_view body)
{
    json::value document;
    const std::optional<json::array> reasons = parseArrayMember(body, "CancellationReasons", document);
    return reasons && std::any_of(reasons->begin(), reasons->end(), isConditionFailure);
}

} // namespace

TableKey splitTableKey(const std::string &key)
{
    const std::size_t slash = key.find('/');
    if (slash == std::string::npos) {
        return { key, std::string(DefaultSortKey) };
    }
    return { key.substr(0, slash), key.substr(slash + 1) };
}

std::string encodeTransaction(const TableTransaction &transaction)
{
    json::array items;
    for (const TableWrite &write : transaction.writes) {
        items.emplace_back(encodeWrite(write));
    }
    return json::serialize(json::object { { "TransactItems", std::move(items) } });
}

std::string encodeGet(const TableGet &get)
{
    json::array items;
    for (const std::string &key : get.keys) {
        items.emplace_back(
            json::object { { "Get", json::object { { "TableName", TableName }, { "Key", keyAttributes(key) } } } });
    }
    return json::serialize(json::object { { "TransactItems", std::move(items) } });
}

std::string encodeScan(const TableScan &scan, std::size_t limit)
{
    const TableKey prefix = splitTableKey(scan.prefix);
    std::string first = prefix.sort.empty() ? std::string(LowestSortKey) : prefix.sort;
    if (scan.after >= scan.prefix && !scan.after.empty() && scan.after != scan.prefix) {
        first = splitTableKey(scan.after).sort + std::string(LowestSortKey);
    }
    const std::string last = prefix.sort + std::string(HighestCharacter);
    json::object values { { ":p", textAttribute(prefix.partition) },
                          { ":a", textAttribute(first) },
                          { ":b", textAttribute(last) } };
    return json::serialize(json::object { { "TableName", TableName },
                                          { "KeyConditionExpression", "pk = :p AND sk BETWEEN :a AND :b" },
                                          { "ExpressionAttributeValues", std::move(values) },
                                          { "ConsistentRead", true },
                                          { "Limit", limit } });
}

std::optional<std::vector<TableRow>> decodeGet(std::string_view text)
{
    json::value document;
    const std::optional<json::array> responses = parseArrayMember(text, "Responses", document);
    if (!responses) {
        return std::nullopt;
    }
    std::vector<TableRow> rows;
    for (const json::value &response : *responses) {
        const json::object *object = response.if_object();
        if (object == nullptr) {
            return std::nullopt;
        }
        const json::object *item = memberObject(*object, "Item");
        if (item == nullptr || item->empty()) {
            continue;
        }
        std::optional<TableRow> row = decodeItem(*item);
        if (!row) {
            return std::nullopt;
        }
        rows.push_back(std::move(*row));
    }
    std::sort(rows.begin(), rows.end());
    return rows;
}

std::optional<ScanPage> decodeScan(std::string_view text)
{
    json::value document;
    const std::optional<json::array> items = parseArrayMember(text, "Items", document);
    if (!items) {
        return std::nullopt;
    }
    ScanPage page;
    for (const json::value &item : *items) {
        const json::object *object = item.if_object();
        std::optional<TableRow> row = object == nullptr ? std::nullopt : decodeItem(*object);
        if (!row) {
            return std::nullopt;
        }
        page.rows.push_back(std::move(*row));
    }
    const json::object *lastKey = memberObject(document.get_object(), "LastEvaluatedKey");
    page.more = lastKey != nullptr && !lastKey->empty();
    return page;
}

StoreStatus writeStatus(unsigned httpStatus, std::string_view body)
{
    if (httpStatus == HttpOk) {
        return StoreStatus::Done;
    }
    if (httpStatus == HttpBadRequest && hasConditionFailure(body)) {
        return StoreStatus::ConditionFailed;
    }
    // With 4xx or 503 the service rejects a request before it starts the transaction.
    const bool rejected = httpStatus >= HttpBadRequest && httpStatus < HttpClientErrorEnd;
    return rejected || httpStatus == HttpServiceUnavailable ? StoreStatus::Unavailable : StoreStatus::Ambiguous;
}

StoreStatus readStatus(unsigned httpStatus)
{
    return httpStatus == HttpOk ? StoreStatus::Done : StoreStatus::Unavailable;
}

} // namespace GeraniumLever
