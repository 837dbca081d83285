#include "development/platform_standins/store_stand_in.h"

#include <boost/beast/http/status.hpp>
#include <boost/json.hpp>
#include <openssl/evp.h>

namespace GeraniumLever {

namespace {

namespace json = boost::json;

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusForbidden = 403;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusGone = 410;
constexpr unsigned StatusConditionFailed = 412;
constexpr unsigned StatusTooMany = 429;
constexpr unsigned StatusUnavailable = 503;
constexpr std::size_t MostRows = 500;
constexpr std::chrono::milliseconds SlowDelay(300);
constexpr std::chrono::milliseconds LateDelay(1000);
constexpr std::chrono::milliseconds FeedStep(10);

std::string encodeBase64(std::string_view bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                       reinterpret_cast<const unsigned char *>(bytes.data()),
                                       static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::string decodeBase64(const std::string &text)
{
    std::string bytes(text.size() / 4 * 3, '\0');
    EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                    reinterpret_cast<const unsigned char *>(text.data()),
                    static_cast<int>(text.size()));
    const std::size_t padding = text.ends_with("==") ? 2 : (text.ends_with('=') ? 1 : 0);
    bytes.resize(bytes.size() - padding);
    return bytes;
}

std::string percentDecodedText(std::string_view text)
{
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(std::string(text.substr(index + 1, 2)), nullptr, 16));
            index += 2;
            continue;
        }
        decoded += text[index];
    }
    return decoded;
}

std::map<std::string, std::string> queryOf(std::string_view target)
{
    std::map<std::string, std::string> query;
    const std::size_t mark = target.find('?');
    std::string_view rest = mark == std::string_view::npos ? std::string_view() : target.substr(mark + 1);
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find('&'), rest.size());
        const std::string_view field = rest.substr(0, end);
        const std::size_t equals = std::min(field.find('='), field.size());
        query[std::string(field.substr(0, equals))] =
            percentDecodedText(field.substr(std::min(equals + 1, field.size())));
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return query;
}

std::string valueIn(const std::map<std::string, std::string> &query, const std::string &name)
{
    const auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
}

json::object rowObject(const StoreRow &row)
{
    json::object object {
        { "table", row.table }, { "part", row.part }, { "key", row.key }, { "value", row.value }, { "ver", row.version }
    };
    if (row.deleted) {
        object["deleted"] = true;
    }
    return object;
}

std::string rowsBody(const std::vector<StoreRow> &rows, bool hasMore, std::uint64_t version)
{
    json::array list;
    for (const StoreRow &row : rows) {
        list.push_back(rowObject(row));
    }
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return json::serialize(
        json::object { { "rows", std::move(list) },
                       { "has_more", hasMore },
                       { "ver", version },
                       { "now_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now).count() } });
}

std::vector<StoreRow> rowsOf(const json::object &object, std::string_view name)
{
    std::vector<StoreRow> rows;
    const json::value *list = object.if_contains(name);
    if (list == nullptr || !list->is_array()) {
        return rows;
    }
    for (const json::value &element : list->get_array()) {
        const json::object &fields = element.as_object();
        StoreRow row;
        row.table = std::string(fields.at("table").as_string());
        row.part = fields.contains("part") ? std::string(fields.at("part").as_string()) : "";
        row.key = std::string(fields.at("key").as_string());
        row.value = fields.contains("value") ? std::string(fields.at("value").as_string()) : "";
        row.version = fields.contains("ver") ? fields.at("ver").to_number<std::uint64_t>() : 0;
        rows.push_back(std::move(row));
    }
    return rows;
}

} // namespace

StoreStandIn::StoreStandIn(boost::asio::io_context &context, const std::string &address)
    : context_(context)
    , link_(context)
    , server_(context, address, [this](const std::shared_ptr<RawSession> &session, const RawSession::Request &request) {
        handle(session, request);
    })
{
}

void StoreStandIn::put(const std::string &table, const std::string &key, std::string_view value)
{
    tables_.transact({}, { StoreRow { table, "", key, encodeBase64(value), 0, false } }, {});
}

void StoreStandIn::remove(const std::string &table, const std::string &key)
{
    tables_.transact({}, {}, { StoreRow { table, "", key, "", 0, false } });
}

std::optional<std::string> StoreStandIn::find(const std::string &table, const std::string &key) const
{
    const std::optional<StoreRow> row = tables_.get(table, "", key);
    return row.has_value() ? std::optional(decodeBase64(row->value)) : std::nullopt;
}

void StoreStandIn::handle(const std::shared_ptr<RawSession> &session, const RawSession::Request &request)
{
    ++calls_;
    if (calls_ == restoreAtCall_) {
        restore();
    }
    if (refusesEverySecondCall_ && calls_ % 2 == 0) {
        answer(session, { StatusTooMany, "{}" });
        return;
    }
    const std::string target(request.target());
    switch (fault_) {
    case StoreFault::Busy:
        answer(session, { StatusUnavailable, "{}" });
        return;
    case StoreFault::Many:
        answer(session, { StatusTooMany, "{}" });
        return;
    case StoreFault::Reset:
        session->reset();
        return;
    case StoreFault::Silent:
        return;
    case StoreFault::LoseAnswers:
        carryOut(request);
        session->reset();
        return;
    case StoreFault::Late:
    case StoreFault::Slow: {
        const bool lost = fault_ == StoreFault::Late;
        const auto timer = std::make_shared<boost::asio::steady_timer>(context_, lost ? LateDelay : SlowDelay);
        timer->async_wait([this, timer, session, request, lost](const boost::system::error_code &) {
            const Reply reply = carryOut(request);
            if (!lost) {
                answer(session, reply);
            }
        });
        return;
    }
    case StoreFault::None:
        break;
    }
    if (target.starts_with("/rows-feed?")) {
        const std::map<std::string, std::string> query = queryOf(target);
        const std::string wait = valueIn(query, "wait_timeout_ms");
        feed(session,
             query,
             std::chrono::steady_clock::now() + std::chrono::milliseconds(wait.empty() ? 0 : std::stoi(wait)));
        return;
    }
    answer(session, carryOut(request));
}

void StoreStandIn::answer(const std::shared_ptr<RawSession> &session, const Reply &reply)
{
    const std::string type = reply.bytes ? "application/octet-stream" : "application/json";
    link_.send(session,
               "HTTP/1.1 " + std::to_string(reply.status) + " X\r\nStore-Era: " + std::to_string(era_)
                   + "\r\nContent-Type: " + type + "\r\nContent-Length: " + std::to_string(reply.body.size())
                   + "\r\n\r\n" + reply.body);
}

StoreStandIn::Reply StoreStandIn::carryOut(const RawSession::Request &request)
{
    const std::string target(request.target());
    const std::string path = target.substr(0, target.find('?'));
    const std::map<std::string, std::string> query = queryOf(target);
    if (path == "/rows-tx") {
        return transact(request.body());
    }
    if (path == "/rows-get") {
        return readRows(query);
    }
    if (path == "/rows-parts") {
        return listParts(query);
    }
    return object(request, path);
}

StoreStandIn::Reply StoreStandIn::transact(const std::string &body)
{
    boost::system::error_code error;
    const json::value value = json::parse(body, error);
    if (error || !value.is_object()) {
        return { StatusBadRequest, "{}" };
    }
    const json::object &object = value.get_object();
    const std::vector<StoreRow> expected = rowsOf(object, "expected_rev");
    const std::vector<StoreRow> writes = rowsOf(object, "writes");
    for (const StoreRow &row : writes) {
        if (row.table == "op" || row.table == "servers") {
            return { StatusForbidden, "{}" };
        }
    }
    if (tables_.transact(expected, writes, rowsOf(object, "remove"))) {
        return { StatusOk, rowsBody({}, false, tables_.version()) };
    }
    std::vector<StoreRow> present;
    for (const StoreRow &row : expected) {
        const std::optional<StoreRow> found = tables_.get(row.table, row.part, row.key);
        if (found.has_value()) {
            present.push_back(*found);
        }
    }
    return { StatusConditionFailed, rowsBody(present, false, tables_.version()) };
}

StoreStandIn::Reply StoreStandIn::readRows(const std::map<std::string, std::string> &query) const
{
    const std::string limitText = valueIn(query, "limit");
    const std::size_t limit = limitText.empty() ? MostRows : std::min<std::size_t>(MostRows, std::stoul(limitText));
    std::vector<StoreRow> rows = tables_.range(
        valueIn(query, "table"), valueIn(query, "part"), valueIn(query, "from"), valueIn(query, "to"), limit + 1);
    const bool hasMore = rows.size() > limit;
    rows.resize(std::min(rows.size(), limit));
    return { StatusOk, rowsBody(rows, hasMore, tables_.version()) };
}

StoreStandIn::Reply StoreStandIn::listParts(const std::map<std::string, std::string> &query) const
{
    json::array parts;
    if (!tables_.range(valueIn(query, "table"), "", "", "", 1).empty()) {
        parts.emplace_back("");
    }
    return { StatusOk, json::serialize(json::object { { "parts", std::move(parts) }, { "has_more", false } }) };
}

StoreStandIn::Reply StoreStandIn::object(const RawSession::Request &request, const std::string &path)
{
    const std::string name = path.substr(path.rfind('/') + 1);
    if (path.starts_with("/blob-put/")) {
        const bool onlyNew = request.count("If-None-Match") != 0;
        if (onlyNew && objects_.count(name) != 0) {
            return { StatusConditionFailed, "{}" };
        }
        objects_[name] = request.body();
        return { StatusOk, "{}" };
    }
    if (path.starts_with("/blob-drop/")) {
        objects_.erase(name);
        return { StatusOk, "{}" };
    }
    if (path.starts_with("/blob-get/") && objects_.count(name) != 0) {
        return { StatusOk, objects_.at(name), true };
    }
    if (path == "/blob-list") {
        const std::string prefix = valueIn(queryOf(request.target()), "path_prefix");
        json::array names;
        for (const auto &[key, bytes] : objects_) {
            if (key.starts_with(prefix)) {
                names.emplace_back(key);
            }
        }
        return { StatusOk, json::serialize(json::object { { "names", std::move(names) }, { "has_more", false } }) };
    }
    return { StatusNotFound, "{}" };
}

void StoreStandIn::feed(const std::shared_ptr<RawSession> &session,
                        const std::map<std::string, std::string> &query,
                        std::chrono::steady_clock::time_point until)
{
    const std::string after = valueIn(query, "after");
    std::optional<std::vector<StoreRow>> changes =
        tables_.changesAfter(valueIn(query, "table"), after.empty() ? 0 : std::stoull(after));
    if (!changes.has_value()) {
        answer(session, { StatusGone, "{}" });
        return;
    }
    if (changesHidden_) {
        changes->clear();
    }
    if (!changes->empty() || std::chrono::steady_clock::now() >= until) {
        answer(session, { StatusOk, rowsBody(*changes, false, tables_.version()) });
        return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(context_, FeedStep);
    timer->async_wait([this, timer, session, query, until](const boost::system::error_code &) {
        if (!session->ended()) {
            feed(session, query, until);
        }
    });
}

} // namespace GeraniumLever
