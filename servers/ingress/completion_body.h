/** The JSON body of a chat or text completion, as callers send it and as engines receive it. */
#pragma once

#include <cstdint>
#include <string>

#include <boost/json/object.hpp>

#include "core/core.h"

namespace GeraniumLever {

/** A caller's completion request in OpenAI's format. */
class CompletionBody
{
public:
    /** `chat` is true for /v1/chat/completions, false for /v1/completions. An error describes the first fault found in
     *  the body. */
    static Result<CompletionBody> parse(const std::string &text, bool chat);

    const ModelName &model() const { return model_; }

    /** True if the caller requested server-sent events. */
    bool streamed() const { return streamed_; }

    /** The caller's limit on the answer's length in tokens; 0 if the caller set none. */
    std::uint32_t maxTokens() const { return maxTokens_; }

    /** All prompt text in order, for prefix hashes and size estimates. */
    const std::string &promptText() const { return promptText_; }

    /** The body to send to an engine. Engines always stream their answers, so that these can be resumed. A non-empty
     *  `deliveredText` is the answer so far, which has `deliveredTokens` tokens and which the engine continues. */
    std::string engineBody(std::uint32_t priority,
                           const std::string &deliveredText,
                           std::uint32_t deliveredTokens) const;

    bool operator==(const CompletionBody &) const = default;

private:
    bool chat_ = true;
    bool streamed_ = false;
    ModelName model_;
    std::uint32_t maxTokens_ = 0;
    std::string promptText_;
    boost::json::object fields_;
};

} // namespace GeraniumLever
