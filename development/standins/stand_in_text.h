/** The text that engine stand-ins answer with: a pure function of the prompt, so that tests can check answers bytewise.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <boost/json/object.hpp>

namespace GeraniumLever {

/** What the body of a completion request asks for. */
struct CompletionRequest
{
    /** Text of the prompt, without the answer's beginning that a resumed request carries. */
    std::string prompt;
    /** Beginning of the answer that the caller already has. */
    std::string delivered;
    std::string model;
    std::optional<std::uint32_t> maxTokens;
    std::uint32_t priority = 0;
    bool chat = false;
    bool streamed = false;

    bool operator==(const CompletionRequest &) const = default;
};

/** Reads a body of /v1/chat/completions (chat) or /v1/completions; nothing if a needed field is absent. */
std::optional<CompletionRequest> parseCompletionRequest(const boost::json::object &body, bool chat);

std::uint64_t promptHash(std::string_view prompt);

/** Token number `index`, from 0, of the answer to a prompt: for example "w1234 ". */
std::string standInToken(std::uint64_t hash, std::uint32_t index);

/** Length of the whole answer in tokens if the request sets no limit; from 8 to `longest`. */
std::uint32_t standInTokenCount(std::uint64_t hash, std::uint32_t longest);

/** The first `count` tokens of the answer. */
std::string standInText(std::uint64_t hash, std::uint32_t count);

/** Number of tokens that the text consists of; nothing if the answer does not begin with the text, or the text ends
 *  within a token. */
std::optional<std::uint32_t> countDeliveredTokens(std::uint64_t hash, std::string_view delivered);

/** What the stand-in of a plain service answers to a body under a key. */
std::string serviceAnswer(std::string_view key, std::string_view body);

} // namespace GeraniumLever
