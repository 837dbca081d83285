#include "drivers/http/upstream_reports.h"

#include <charconv>
#include <limits>
#include <string_view>

#include <boost/json.hpp>

namespace GeraniumLever {

namespace {

namespace json = boost::json;

void readNumber(const json::object &object, std::string_view name, std::uint64_t &target)
{
    const json::value *value = object.if_contains(name);
    if (value == nullptr || !value->is_number()) {
        return;
    }
    boost::system::error_code error;
    const std::uint64_t number = value->to_number<std::uint64_t>(error);
    if (!error) {
        target = number;
    }
}

void readNumber(const json::object &object, std::string_view name, std::uint32_t &target)
{
    std::uint64_t number = target;
    readNumber(object, name, number);
    constexpr std::uint64_t Largest = std::numeric_limits<std::uint32_t>::max();
    target = static_cast<std::uint32_t>(number < Largest ? number : Largest);
}

void readBool(const json::object &object, std::string_view name, bool &target)
{
    const json::value *value = object.if_contains(name);
    if (value != nullptr && value->is_bool()) {
        target = value->get_bool();
    }
}

void readText(const json::object &object, std::string_view name, std::string &target)
{
    const json::value *value = object.if_contains(name);
    if (value != nullptr && value->is_string()) {
        target = std::string(value->get_string());
    }
}

std::optional<json::object> parseObject(const std::string &text)
{
    boost::system::error_code error;
    json::value value = json::parse(text, error);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    return std::move(value.get_object());
}

std::optional<std::uint64_t> parseBlockHash(std::string_view text)
{
    constexpr int HexBase = 16;
    constexpr std::size_t HexDigits = 16;
    std::uint64_t hash = 0;
    const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), hash, HexBase);
    if (text.size() != HexDigits || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return hash;
}

std::optional<CacheEvent> parseCacheEvent(const UpstreamName &upstream, const json::value &value)
{
    if (!value.is_object()) {
        return std::nullopt;
    }
    const json::object &object = value.get_object();
    std::string block;
    readText(object, "block", block);
    const std::optional<std::uint64_t> hash = parseBlockHash(block);
    if (!hash.has_value()) {
        return std::nullopt;
    }
    CacheEvent event;
    event.upstream = upstream;
    event.blockHash = *hash;
    readNumber(object, "sequence", event.sequence);
    readBool(object, "stored", event.stored);
    return event;
}

} // namespace

std::optional<LoadReport> parseLoadReport(const UpstreamName &upstream, const std::string &text)
{
    const std::optional<json::object> object = parseObject(text);
    if (!object.has_value()) {
        return std::nullopt;
    }
    LoadReport report;
    report.upstream = upstream;
    readNumber(*object, "running", report.running);
    readNumber(*object, "waiting", report.waiting);
    readNumber(*object, "free_cache_per_mille", report.freeCachePerMille);
    readBool(*object, "ready", report.ready);
    readBool(*object, "leaving", report.leaving);
    readText(*object, "model_version", report.modelVersion);
    readText(*object, "adapter", report.adapter);
    readText(*object, "role", report.role);
    std::uint64_t fence = 0;
    readNumber(*object, "fence", fence);
    report.fence = FenceNumber(fence);
    return report;
}

std::vector<CacheEvent> parseCacheEvents(const UpstreamName &upstream, const std::string &text)
{
    std::vector<CacheEvent> events;
    const std::optional<json::object> object = parseObject(text);
    const json::value *list = object.has_value() ? object->if_contains("events") : nullptr;
    if (list == nullptr || !list->is_array()) {
        return events;
    }
    for (const json::value &entry : list->get_array()) {
        std::optional<CacheEvent> event = parseCacheEvent(upstream, entry);
        if (event.has_value()) {
            events.push_back(std::move(*event));
        }
    }
    return events;
}

std::string formatOrder(const EngineOrder &order)
{
    return json::serialize(json::object { { "fence", order.fence.value() },
                                          { "model_version", order.modelVersion },
                                          { "adapter", order.adapter },
                                          { "role", order.role } });
}

} // namespace GeraniumLever
