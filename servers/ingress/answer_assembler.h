/** Assembles the answer of a completion from the events of one or more engines. */
#pragma once

#include <cstdint>
#include <string>

#include "core/core.h"

namespace GeraniumLever {

/** Tracks the server-sent events of an answer, so that it can be resumed at another engine, checked for completeness,
 *  and assembled into one body for a caller that requested no stream. */
class AnswerAssembler
{
public:
    explicit AnswerAssembler(bool chat = true) : chat_(chat) { }

    /** How an event is to be handled. */
    enum class Effect : std::uint8_t {
        /** Pass event() on to the caller. */
        Forward,
        /** Do not pass the event on. */
        Skip,
        /** The event is the end marker: the answer is complete. */
        Complete,
        /** Not an event of a completion, or an end marker without a finish reason. */
        Invalid,
    };

    /** Adds an event, given its data. */
    Effect addEvent(const std::string &data);

    /** The event to pass on after Effect::Forward. Events of later engines are given the identifier of the first
     * engine's answer. */
    const std::string &event() const { return event_; }

    /** Completes an answer that has reached the caller's token limit and whose last event was lost: sets event() to a
     *  last event with the finish reason "length", as engines send it in this case. */
    void finishAtLimit();

    /** Must be called before the events of the next engine, which continues the same answer. */
    void beginContinuation();

    /** The answer's text so far. */
    const std::string &text() const { return text_; }

    /** Number of tokens so far; each event with text counts as one. */
    std::uint32_t tokens() const { return tokens_; }

    /** True once the engine has sent a finish reason; only the end marker may still be missing then. */
    bool hasFinishReason() const { return !finishReason_.empty(); }

    /** The complete answer as one JSON body. */
    std::string composeBody(const std::string &model, std::uint32_t promptTokens) const;

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
