#include "servers/ingress/answer_assembler.h"

#include <string_view>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace GeraniumLever {

namespace {

constexpr std::string_view EndMark = "[DONE]";

/** The first choice of a chunk; nullptr if it has none. */
const boost::json::object *firstChoice(const boost::json::object &chunk)
{
    const boost::json::value *choices = chunk.if_contains("choices");
    const boost::json::array *list = choices == nullptr ? nullptr : choices->if_array();
    if (list == nullptr || list->empty()) {
        return nullptr;
    }
    return list->front().if_object();
}

std::string_view stringField(const boost::json::object &object, std::string_view name)
{
    const boost::json::value *field = object.if_contains(name);
    if (field == nullptr || !field->is_string()) {
        return {};
    }
    return std::string_view(field->as_string().data(), field->as_string().size());
}

std::string_view choiceText(const boost::json::object &choice, bool chat)
{
    if (!chat) {
        return stringField(choice, "text");
    }
    const boost::json::value *delta = choice.if_contains("delta");
    const boost::json::object *object = delta == nullptr ? nullptr : delta->if_object();
    return object == nullptr ? std::string_view() : stringField(*object, "content");
}

} // namespace

AnswerAssembler::Effect AnswerAssembler::take(const std::string &data)
{
    if (data == EndMark) {
        return recordAnswer() ? Effect::Whole : Effect::Faulty;
    }
    boost::system::error_code failure;
    boost::json::value parsed = boost::json::parse(data, failure);
    boost::json::object *chunk = failure ? nullptr : parsed.if_object();
    if (chunk == nullptr || !chunk->contains("choices")) {
        return Effect::Faulty;
    }
    if (id_.empty()) {
        id_ = stringField(*chunk, "id");
        const boost::json::value *created = chunk->if_contains("created");
        created_ = created != nullptr && created->is_int64() ? created->as_int64() : 0;
    }
    const boost::json::object *choice = firstChoice(*chunk);
    const std::string_view text = choice == nullptr ? std::string_view() : choiceText(*choice, chat_);
    const std::string_view reason = choice == nullptr ? std::string_view() : stringField(*choice, "finish_reason");
    const bool opensOnly = text.empty() && reason.empty();
    if (!text.empty()) {
        text_.append(text);
        ++tokens_;
    }
    if (!reason.empty()) {
        finishReason_ = reason;
    }
    if (!continuation_) {
        event_ = data;
        return Effect::Forward;
    }
    if (opensOnly && choice != nullptr) {
        return Effect::Skip;
    }
    (*chunk)["id"] = id_;
    event_ = boost::json::serialize(*chunk);
    return Effect::Forward;
}

void AnswerAssembler::finishAtLimit()
{
    finishReason_ = "length";
    boost::json::object choice;
    choice["index"] = 0;
    if (chat_) {
        choice["delta"] = boost::json::object();
    } else {
        choice["text"] = "";
    }
    choice["finish_reason"] = finishReason_;
    boost::json::object chunk;
    chunk["id"] = id_;
    chunk["object"] = chat_ ? "chat.completion.chunk" : "text_completion";
    chunk["created"] = created_;
    chunk["choices"] = boost::json::array { std::move(choice) };
    event_ = boost::json::serialize(chunk);
}

void AnswerAssembler::beginContinuation()
{
    continuation_ = !id_.empty();
}

std::string AnswerAssembler::wholeBody(const std::string &model, std::uint32_t promptTokens) const
{
    boost::json::object choice;
    choice["index"] = 0;
    if (chat_) {
        boost::json::object message;
        message["role"] = "assistant";
        message["content"] = text_;
        choice["message"] = std::move(message);
    } else {
        choice["text"] = text_;
    }
    choice["finish_reason"] = finishReason_;
    boost::json::object usage;
    usage["prompt_tokens"] = promptTokens;
    usage["completion_tokens"] = tokens_;
    usage["total_tokens"] = promptTokens + tokens_;
    boost::json::object body;
    body["id"] = id_;
    body["object"] = chat_ ? "chat.completion" : "text_completion";
    body["created"] = created_;
    body["model"] = model;
    body["choices"] = boost::json::array { std::move(choice) };
    body["usage"] = std::move(usage);
    return boost::json::serialize(body);
}

} // namespace GeraniumLever
