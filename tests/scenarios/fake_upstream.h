/** Fake of one engine or plain service, with the node's HTTP client before it. */
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

/** One call that a plain service carried out. */
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
    /** Reports an event of an attempt to the node that began it. */
    using Sink = std::function<void(const Event &)>;

    FakeUpstream(Upstream entity, bool engine, Timeline &timeline)
        : entity_(entity), engine_(engine), timeline_(timeline)
    {
    }

    const Upstream &entity() const { return entity_; }
    bool isEngine() const { return engine_; }

    /** owner: the node that begins the attempt. */
    void dispatch(const UpstreamDispatch &dispatch, const NodeName &owner, Sink sink);
    void cancel(const AttemptId &attempt);
    bool answersProbe() const { return up && !frozen; }
    LoadReport report() const;

    /** The node is dead; its connections are closed. What a plain service has begun goes on. */
    void cancelAllOf(const NodeName &owner);

    /** Breaks every connection. */
    void crash();
    /** Connections that exist now carry nothing more; new ones work. */
    void silence();
    /** Repeats the head and the first data of attempts that are over. */
    void repeatOldAnswers();

    bool up = true;
    bool frozen = false;
    bool leaving = false;
    /** Heads carry another attempt's identifier. */
    bool crossed = false;
    /** Answers of this many calls are lost after their execution. */
    int loseAnswers = 0;
    Duration tokenGap = std::chrono::milliseconds(20);
    Duration prefill = std::chrono::milliseconds(50);
    Duration workTime = std::chrono::milliseconds(30);
    /** A crash comes after this many further tokens; 0 is never. */
    std::uint32_t crashAfterTokens = 0;

    /** Time of each dispatch that arrived. */
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
        std::uint32_t next = 0;
        std::uint32_t end = 0;
        bool running = false;
        bool silent = false;
        /** The node no longer waits for anything of this attempt. */
        bool failed = false;
        /** The end of the answer is on its way to the node. */
        bool delivered = false;
        TimePoint lastByte;
        std::string firstData;
    };
    using AttemptPtr = std::shared_ptr<Attempt>;

    void emit(const AttemptPtr &attempt, const Event &event);
    void watchSilence(const AttemptPtr &attempt);
    void startWaiting();
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
    std::vector<AttemptPtr> over_;
    std::vector<TimePoint> dispatches_;
    std::vector<Execution> executions_;
};

} // namespace GeraniumLever
