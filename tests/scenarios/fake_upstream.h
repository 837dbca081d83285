/** Fake of one engine or plain service together with the node's HTTP client for it. */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "development/standins/standins.h"
#include "tests/scenarios/timeline.h"

namespace GeraniumLever {

/** One call that a plain service executed. */
struct Execution
{
    std::string key;
    RequestId request;
    TimePoint at;

    auto operator<=>(const Execution &) const = default;
};

class FakeUpstream
{
public:
    /** Delivers an event of an attempt to the node that started it. */
    using Sink = std::function<void(const Event &)>;

    FakeUpstream(Upstream entity, bool engine, Timeline &timeline)
        : entity_(entity), engine_(engine), timeline_(timeline)
    {
    }

    const Upstream &entity() const { return entity_; }
    bool isEngine() const { return engine_; }

    /** owner: the node that starts the attempt. */
    void dispatch(const UpstreamDispatch &dispatch, const NodeName &owner, Sink sink);
    void cancel(const AttemptId &attempt);
    bool answersProbe() const { return up && !frozen; }
    LoadReport report() const;

    /** Closes all connections of a killed node. A plain service still finishes the calls that it has started. */
    void cancelAllOf(const NodeName &owner);

    /** Breaks every connection. */
    void crash();
    /** Existing connections deliver no more data; new ones work. */
    void silence();
    /** Sends the head, the first data and the end of every finished attempt once more. */
    void resendFinishedAnswers();

    bool up = true;
    bool frozen = false;
    bool leaving = false;
    /** Response heads echo another attempt's identifier. */
    bool echoesWrongAttempt = false;
    /** Number of further calls whose answers are lost after execution. */
    int loseAnswers = 0;
    Duration tokenGap = std::chrono::milliseconds(20);
    Duration prefill = std::chrono::milliseconds(50);
    Duration workTime = std::chrono::milliseconds(30);
    /** The upstream crashes after this many further tokens; 0 if never. */
    std::uint32_t crashAfterTokens = 0;

    /** Arrival time of each dispatch. */
    const std::vector<TimePoint> &dispatches() const { return dispatches_; }
    const std::vector<Execution> &executions() const { return executions_; }

private:
    struct Attempt
    {
        UpstreamDispatch dispatch;
        NodeName owner;
        Sink sink;
        CompletionRequest request;
        std::uint64_t hash = 0;
        std::uint32_t nextToken = 0;
        std::uint32_t endToken = 0;
        bool running = false;
        bool silent = false;
        /** The attempt has failed or was cancelled; the node receives no more events of it. */
        bool closed = false;
        /** The end of the answer has been sent to the node. */
        bool endSent = false;
        TimePoint lastByte;
        TimePoint silenceReportedAt;
        std::string firstData;
    };
    using AttemptPtr = std::shared_ptr<Attempt>;

    void emit(const AttemptPtr &attempt, const Event &event);
    void scheduleSilenceCheck(const AttemptPtr &attempt);
    void startQueuedAttempts();
    void generate(const AttemptPtr &attempt);
    void execute(const AttemptPtr &attempt);
    void finish(const AttemptPtr &attempt);
    void fail(const AttemptPtr &attempt, UpstreamFailure::Kind kind);
    UpstreamHead headOf(const AttemptPtr &attempt, const std::string &contentType) const;
    std::size_t running() const;

    Upstream entity_;
    bool engine_;
    Timeline &timeline_;
    std::vector<AttemptPtr> attempts_;
    std::vector<AttemptPtr> finishedAttempts_;
    std::vector<TimePoint> dispatches_;
    std::vector<Execution> executions_;
};

} // namespace GeraniumLever
