/** The answer of a completion as it arrives from one engine after another. */
#pragma once

#include <cstdint>
#include <string>

#include "core/core.h"

namespace GeraniumLever {

/** Follows the server-sent events of an answer, so that it can be resumed at another engine, checked for its end, and
 *  composed into one body for a caller that wants no stream. */
class AnswerAssembler
{
public:
    explicit AnswerAssembler(bool chat = true) : chat_(chat) { }

    /** What one event means for the caller. */
    enum class Effect : std::uint8_t {
        /** Pass event() on to the caller. */
        Forward,
        /** Nothing that the caller should see. */
        Skip,
        /** The end mark: the answer is whole. */
        Whole,
        /** Not an event of a completion, or an end mark without a finish reason. */
        Faulty,
    };

    /** Takes the data of one event. */
    Effect take(const std::string &data);

    /** The event to pass on after Effect::Forward. Events of later engines carry the first engine's identifier. */
    const std::string &event() const { return event_; }

    /** Ends an answer that has as many tokens as the caller allows, and whose last event was lost: makes event() the
     * last event, with the finish reason that engines give then. */
    void finishAtLimit();

    /** Begins the next engine's continuation of the same answer. */
    void beginContinuation();

    /** Answer text so far. */
    const std::string &text() const { return text_; }

    /** Tokens so far, counting one for each event with text. */
    std::uint32_t tokens() const { return tokens_; }

    /** True once the engine has given a finish reason. Only the end mark is missing then. */
    bool recordAnswer() const { return !finishReason_.empty(); }

    /** The whole answer as one JSON body. */
    std::string wholeBody(const std::string &model, std::uint32_t promptTokens) const;

private:
    bool chat_;
    bool continuation_ = false;
    std::string id_;
    std::int64_t created_ = 0;
    std::string finishReason_;
    std::string text_;
    std::string event_;
    std::uint32_t tokens_ = 0;
};

} // namespace GeraniumLever
