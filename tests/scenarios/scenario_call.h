/** One request as its caller sees it. */
#pragma once

#include <optional>
#include <string>

#include "core/core.h"

namespace GeraniumLever {

/** How a call ended for its caller. */
enum class CallEnding : std::uint8_t {
    Open,
    Answered,
    NotRun,
    Failed,
    Unknown,
    /** The connection broke before the end of the answer. */
    Cut,
};

const char *callEndingName(CallEnding ending);

struct ScenarioCall
{
    std::string name;
    std::string requestClass;
    std::string key;
    /** The complete text of the correct answer. */
    std::string expectedText;
    bool streamed = false;
    RequestId request;
    NodeName node;
    TimePoint startedAt;
    std::optional<TimePoint> firstByteAt;
    TimePoint endedAt;
    CallEnding ending = CallEnding::Open;
    std::string text;
    std::string errorName;
    bool headReceived = false;
    bool doneReceived = false;
    /** The last protocol violation that the caller saw, for example data after the end; empty if none. */
    std::string protocolError;

    /** True if the answer is complete and belongs to this call. */
    bool isAnsweredCorrectly() const
    {
        return ending == CallEnding::Answered && protocolError.empty() && text == expectedText;
    }

    void receive(const ReplyHead &head, TimePoint now);
    void receive(const ReplyData &data, TimePoint now);
    void receive(const ReplyEnd &end, TimePoint now);
    void receive(const ReplyError &error, TimePoint now);

    /** Ends an open call because its node is down. */
    void cut(TimePoint now);

private:
    bool accepts(TimePoint now, bool needsHead, const char *what);
};

} // namespace GeraniumLever
