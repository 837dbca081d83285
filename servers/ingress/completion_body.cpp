#include "servers/ingress/completion_body.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace GeraniumLever {

namespace {

constexpr std::int64_t MaxTokensLimit = 1'000'000;

Error makeMalformedError(std::string message)
{
    return Error { ResultCode::MalformedRequest, std::move(message), std::nullopt };
}

/** Appends the text of a message's content, which is a string or a list of parts. */
void appendContent(const boost::json::value &content, std::string &text)
{
    if (const boost::json::string *plain = content.if_string()) {
        text.append(plain->data(), plain->size());
        return;
    }
    const boost::json::array *parts = content.if_array();
    if (parts == nullptr) {
        return;
    }
    for (const boost::json::value &part : *parts) {
        const boost::json::object *object = part.if_object();
        const boost::json::value *partText = object == nullptr ? nullptr : object->if_contains("text");
        if (partText != nullptr && partText->is_string()) {
            appendContent(*partText, text);
        }
    }
}

bool appendMessages(const boost::json::value *messages, std::string &text)
{
    const boost::json::array *list = messages == nullptr ? nullptr : messages->if_array();
    if (list == nullptr || list->empty()) {
        return false;
    }
    for (const boost::json::value &message : *list) {
        const boost::json::object *object = message.if_object();
        const boost::json::value *content = object == nullptr ? nullptr : object->if_contains("content");
        if (content == nullptr) {
            return false;
        }
        appendContent(*content, text);
        text += '\n';
    }
    return true;
}

/** Appends the answer so far as the last message. If the request is itself a continuation, appends it to the text of
 * the request's last message instead. */
void appendAnswer(boost::json::object &fields, const std::string &deliveredText)
{
    boost::json::array &messages = fields["messages"].as_array();
    const boost::json::value *continued = fields.if_contains("continue_final_message");
    boost::json::object *last = messages.back().if_object();
    boost::json::value *lastContent = last == nullptr ? nullptr : last->if_contains("content");
    if (continued != nullptr && *continued == true && lastContent != nullptr && lastContent->is_string()) {
        lastContent->as_string() += deliveredText;
        return;
    }
    boost::json::object answer;
    answer["role"] = "assistant";
    answer["content"] = deliveredText;
    messages.emplace_back(std::move(answer));
}

} // namespace

Result<CompletionBody> CompletionBody::parse(const std::string &text, bool chat)
{
    boost::system::error_code failure;
    boost::json::value parsed = boost::json::parse(text, failure);
    if (failure || !parsed.is_object()) {
        return makeMalformedError("the body is not a JSON object");
    }
    CompletionBody body;
    body.chat_ = chat;
    body.fields_ = std::move(parsed.as_object());
    const boost::json::value *model = body.fields_.if_contains("model");
    if (model == nullptr || !model->is_string() || model->as_string().empty()) {
        return makeMalformedError("\"model\" must name a model");
    }
    body.model_ = ModelName(std::string(model->as_string()));
    if (const boost::json::value *stream = body.fields_.if_contains("stream")) {
        if (!stream->is_bool()) {
            return makeMalformedError("\"stream\" must be true or false");
        }
        body.streamed_ = stream->as_bool();
    }
    if (const boost::json::value *count = body.fields_.if_contains("n")) {
        if (!count->is_int64() || count->as_int64() != 1) {
            return makeMalformedError("\"n\" must be 1");
        }
    }
    if (const boost::json::value *limit = body.fields_.if_contains("max_tokens")) {
        if (!limit->is_int64() || limit->as_int64() < 1 || limit->as_int64() > MaxTokensLimit) {
            return makeMalformedError("\"max_tokens\" must be a whole number from 1 to 1000000");
        }
        body.maxTokens_ = static_cast<std::uint32_t>(limit->as_int64());
    }
    if (chat) {
        if (!appendMessages(body.fields_.if_contains("messages"), body.promptText_)) {
            return makeMalformedError("\"messages\" must be a list of messages with content");
        }
        return body;
    }
    const boost::json::value *prompt = body.fields_.if_contains("prompt");
    if (prompt == nullptr || !prompt->is_string()) {
        return makeMalformedError("\"prompt\" must be a string");
    }
    appendContent(*prompt, body.promptText_);
    return body;
}

std::string CompletionBody::engineBody(std::uint32_t priority,
                                       const std::string &deliveredText,
                                       std::uint32_t deliveredTokens) const
{
    boost::json::object fields = fields_;
    fields["stream"] = true;
    fields["priority"] = priority;
    if (deliveredText.empty()) {
        return boost::json::serialize(fields);
    }
    if (maxTokens_ > deliveredTokens) {
        fields["max_tokens"] = maxTokens_ - deliveredTokens;
    }
    if (!chat_) {
        const boost::json::value *continuedText = fields.if_contains("geranium_continue_text");
        const std::string previousText = continuedText != nullptr && continuedText->is_string()
            ? std::string(continuedText->as_string())
            : std::string();
        fields["geranium_continue_text"] = previousText + deliveredText;
        return boost::json::serialize(fields);
    }
    appendAnswer(fields, deliveredText);
    fields["add_generation_prompt"] = false;
    fields["continue_final_message"] = true;
    return boost::json::serialize(fields);
}

} // namespace GeraniumLever
