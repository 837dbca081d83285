#include "tests/scenarios/scenario_call.h"

#include <boost/json/parse.hpp>

namespace GeraniumLever {

namespace {

CallEnding endingOf(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Answered:
        return CallEnding::Answered;
    case Outcome::NotRun:
        return CallEnding::NotRun;
    case Outcome::Failed:
        return CallEnding::Failed;
    case Outcome::Unknown:
        return CallEnding::Unknown;
    }
    return CallEnding::Unknown;
}

std::string contentOf(const std::string &event)
{
    boost::json::value delta = boost::json::parse(event).at("choices").at(0).at("delta");
    const boost::json::value *content = delta.get_object().if_contains("content");
    return content == nullptr ? std::string() : std::string(content->get_string());
}

} // namespace

const char *callEndingName(CallEnding ending)
{
    constexpr const char *Names[] = { "open", "answered", "not_run", "failed", "unknown", "cut" };
    return Names[static_cast<std::size_t>(ending)];
}

void ScenarioCall::receive(const ReplyHead &head, TimePoint now)
{
    if (!accepts(now, false, "head")) {
        return;
    }
    if (headReceived) {
        protocolError = "second head";
    }
    headReceived = true;
    streamed = head.streamed;
    if (!streamed && head.outcome) {
        ending = endingOf(*head.outcome);
    }
}

void ScenarioCall::receive(const ReplyData &data, TimePoint now)
{
    if (!streamed) {
        if (!headReceived) {
            protocolError = "data without head";
        }
        text += data.data;
        firstByteAt = firstByteAt.value_or(now);
        return;
    }
    if (!accepts(now, true, "data")) {
        return;
    }
    if (data.data == "[DONE]") {
        doneReceived = true;
        return;
    }
    firstByteAt = firstByteAt.value_or(now);
    text += contentOf(data.data);
}

void ScenarioCall::receive(const ReplyEnd &, TimePoint now)
{
    if (streamed && !accepts(now, true, "end")) {
        return;
    }
    endedAt = now;
    if (!streamed) {
        return;
    }
    ending = doneReceived ? CallEnding::Answered : CallEnding::Cut;
}

void ScenarioCall::receive(const ReplyError &error, TimePoint now)
{
    if (!accepts(now, false, "error")) {
        return;
    }
    endedAt = now;
    ending = endingOf(error.outcome);
    errorName = std::string(resultCodeName(error.error.code));
}

void ScenarioCall::cut(TimePoint now)
{
    if (ending == CallEnding::Open) {
        endedAt = now;
        ending = CallEnding::Cut;
    }
}

bool ScenarioCall::accepts(TimePoint, bool needsHead, const char *what)
{
    if (ending != CallEnding::Open) {
        protocolError = std::string(what) + " after the end";
        return false;
    }
    if (needsHead && !headReceived) {
        protocolError = std::string(what) + " without head";
    }
    return true;
}

} // namespace GeraniumLever
