#include "development/standins/completion_format.h"

#include <boost/json.hpp>

namespace GeraniumLever {

namespace {

namespace Json = boost::json;

Json::object usage(std::uint32_t tokens)
{
    return { { "completion_tokens", tokens } };
}

Json::object envelope(const CompletionFormat &format, std::string_view chatObject)
{
    Json::object body;
    body["id"] = format.id;
    body["object"] = format.chat ? chatObject : std::string_view("text_completion");
    body["model"] = format.model;
    return body;
}

Json::object chunkChoice(const CompletionFormat &format, const std::string *token)
{
    Json::object choice;
    choice["index"] = 0;
    if (format.chat) {
        choice["delta"] = token == nullptr ? Json::object {} : Json::object { { "content", *token } };
    } else {
        choice["text"] = token == nullptr ? std::string() : *token;
    }
    choice["finish_reason"] = nullptr;
    return choice;
}

} // namespace

std::string CompletionFormat::chunk(const std::string &token) const
{
    Json::object body = envelope(*this, "chat.completion.chunk");
    body["choices"] = Json::array { chunkChoice(*this, &token) };
    return Json::serialize(body);
}

std::string CompletionFormat::lastChunk(std::uint32_t tokens) const
{
    Json::object body = envelope(*this, "chat.completion.chunk");
    Json::object choice = chunkChoice(*this, nullptr);
    choice["finish_reason"] = "stop";
    body["choices"] = Json::array { std::move(choice) };
    body["usage"] = usage(tokens);
    return Json::serialize(body);
}

std::string CompletionFormat::whole(const std::string &text, std::uint32_t tokens) const
{
    Json::object body = envelope(*this, "chat.completion");
    Json::object choice;
    choice["index"] = 0;
    if (chat) {
        choice["message"] = Json::object { { "role", "assistant" }, { "content", text } };
    } else {
        choice["text"] = text;
    }
    choice["finish_reason"] = "stop";
    body["choices"] = Json::array { std::move(choice) };
    body["usage"] = usage(tokens);
    return Json::serialize(body);
}

} // namespace GeraniumLever
