/** The JSON body of a chat or text completion, as callers send it and as engines get it. */
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
    /** chat: true for /v1/chat/completions, false for /v1/completions. An error names the first fault of the body. */
    static Result<CompletionBody> parse(const std::string &text, bool chat);

    const ModelName &model() const { return model_; }

    /** True if the caller wants server-sent events. */
    bool streamed() const { return streamed_; }

    /** The caller's limit on the answer's length; 0 if it gave none. */
    std::uint32_t maxTokens() const { return maxTokens_; }

    /** All prompt text in order, for prefix hashes and size estimates. */
    const std::string &promptText() const { return promptText_; }

    /** Body for an engine. Answers are always streamed, so that they can be resumed. A non-empty deliveredText is the
     *  answer so far, which the engine continues after deliveredTokens tokens. */
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
