#include "development/standins/stand_in_text.h"

#include <algorithm>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "core/core.h"

namespace GeraniumLever {

namespace {

constexpr std::uint64_t WordCount = 10000;
constexpr std::uint32_t ShortestAnswer = 8;

std::string textField(const boost::json::object &object, std::string_view name)
{
    const boost::json::value *value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

bool boolField(const boost::json::object &object, std::string_view name)
{
    const boost::json::value *value = object.if_contains(name);
    return value != nullptr && value->is_bool() && value->get_bool();
}

std::optional<std::uint32_t> numberField(const boost::json::object &object, std::string_view name)
{
    const boost::json::value *value = object.if_contains(name);
    if (value == nullptr || !value->is_number()) {
        return std::nullopt;
    }
    boost::json::error_code error;
    std::uint32_t number = value->to_number<std::uint32_t>(error);
    return error ? std::nullopt : std::optional<std::uint32_t>(number);
}

/** Fills prompt and delivered from the messages; false if there are none. */
bool readMessages(const boost::json::object &body, CompletionRequest &request)
{
    const boost::json::value *messages = body.if_contains("messages");
    if (messages == nullptr || !messages->is_array() || messages->get_array().empty()) {
        return false;
    }
    const boost::json::array &list = messages->get_array();
    for (std::size_t index = 0; index < list.size(); ++index) {
        if (!list[index].is_object()) {
            return false;
        }
        const boost::json::object &message = list[index].get_object();
        bool last = index + 1 == list.size();
        if (last && boolField(body, "continue_final_message") && textField(message, "role") == "assistant") {
            request.delivered = textField(message, "content");
            continue;
        }
        request.prompt += textField(message, "content");
        request.prompt += '\n';
    }
    return true;
}

} // namespace

std::optional<CompletionRequest> parseCompletionRequest(const boost::json::object &body, bool chat)
{
    CompletionRequest request;
    request.chat = chat;
    request.model = textField(body, "model");
    request.streamed = boolField(body, "stream");
    request.maxTokens = numberField(body, "max_tokens");
    request.priority = numberField(body, "priority").value_or(0);
    if (chat) {
        return readMessages(body, request) ? std::optional<CompletionRequest>(request) : std::nullopt;
    }
    if (!body.contains("prompt")) {
        return std::nullopt;
    }
    request.prompt = textField(body, "prompt");
    request.delivered = textField(body, "geranium_continue_text");
    return request;
}

std::uint64_t promptHash(std::string_view prompt)
{
    // FNV-1a, written out because the value must be the same in every test and on every machine.
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (char byte : prompt) {
        hash = (hash ^ static_cast<unsigned char>(byte)) * 0x100000001b3ULL;
    }
    return hash;
}

std::string standInToken(std::uint64_t hash, std::uint32_t index)
{
    std::uint64_t mixed = (hash + index) * 0x9e3779b97f4a7c15ULL;
    mixed ^= mixed >> 32;
    std::string token = "w";
    token += std::to_string(mixed % WordCount);
    token += ' ';
    return token;
}

std::uint32_t standInTokenCount(std::uint64_t hash, std::uint32_t longest)
{
    std::uint32_t bound = std::max(longest, ShortestAnswer);
    return ShortestAnswer + static_cast<std::uint32_t>((hash >> 20) % (bound - ShortestAnswer + 1));
}

std::string standInText(std::uint64_t hash, std::uint32_t count)
{
    std::string text;
    for (std::uint32_t index = 0; index < count; ++index) {
        text += standInToken(hash, index);
    }
    return text;
}

std::optional<std::uint32_t> countDeliveredTokens(std::uint64_t hash, std::string_view delivered)
{
    std::uint32_t count = 0;
    while (!delivered.empty()) {
        std::string token = standInToken(hash, count);
        if (!delivered.starts_with(token)) {
            return std::nullopt;
        }
        delivered.remove_prefix(token.size());
        ++count;
    }
    return count;
}

std::string serviceAnswer(std::string_view key, std::string_view body)
{
    boost::json::object answer;
    answer["key"] = key;
    answer["body_hash"] = std::to_string(promptHash(body));
    return boost::json::serialize(answer);
}

} // namespace GeraniumLever
