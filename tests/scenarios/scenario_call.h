/** One request of a caller, as the caller sees it. */
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
    /** Text that the whole answer must consist of. */
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
    /** Protocol faults that the caller saw, for example data after the end; empty if none. */
    std::string fault;

    /** True if the answer was delivered whole and is this call's own. */
    bool whole() const { return ending == CallEnding::Answered && fault.empty() && text == expectedText; }

    void take(const ReplyHead &head, TimePoint now);
    void take(const ReplyData &data, TimePoint now);
    void take(const ReplyEnd &end, TimePoint now);
    void take(const ReplyError &error, TimePoint now);

    /** The node is gone. */
    void cut(TimePoint now);

private:
    bool accepts(TimePoint now, bool needsHead, const char *what);
};

} // namespace GeraniumLever
