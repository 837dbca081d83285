#include "tests/scenarios/fake_upstream.h"

#include <algorithm>

#include <boost/json/parse.hpp>

namespace GeraniumLever {

namespace {

constexpr Duration Latency = std::chrono::milliseconds(1);
/** How often a frozen upstream checks whether it may continue. */
constexpr Duration FrozenPoll = std::chrono::milliseconds(50);

std::string headerOf(const UpstreamDispatch &dispatch, std::string_view name)
{
    for (const HeaderField &field : dispatch.headers) {
        if (field.name == name) {
            return field.value;
        }
    }
    return {};
}

CompletionFormat formatOf(const CompletionRequest &request, std::uint64_t hash)
{
    return { "cmpl-" + std::to_string(hash), request.model, request.chat };
}

} // namespace

void FakeUpstream::dispatch(const UpstreamDispatch &dispatch, const NodeName &owner, Sink sink)
{
    AttemptPtr attempt = std::make_shared<Attempt>();
    attempt->dispatch = dispatch;
    attempt->owner = owner;
    attempt->sink = std::move(sink);
    attempt->lastByte = timeline_.now();
    if (!up) {
        timeline_.after(Latency, [attempt]() {
            attempt->sink(UpstreamFailure { attempt->dispatch.attempt, UpstreamFailure::Kind::NotConnected });
        });
        return;
    }
    dispatches_.push_back(timeline_.now());
    attempts_.push_back(attempt);
    scheduleSilenceCheck(attempt);
    if (!engine_) {
        timeline_.afterJittered(Latency, [this, attempt]() { execute(attempt); });
        return;
    }
    boost::json::object body = boost::json::parse(dispatch.body).get_object();
    attempt->request = parseCompletionRequest(body, dispatch.path == "/v1/chat/completions").value();
    attempt->hash = promptHash(attempt->request.prompt);
    attempt->nextToken = countDeliveredTokens(attempt->hash, attempt->request.delivered).value();
    attempt->endToken = attempt->nextToken + attempt->request.maxTokens.value();
    startQueuedAttempts();
}

void FakeUpstream::cancel(const AttemptId &attempt)
{
    for (const AttemptPtr &known : std::vector<AttemptPtr>(attempts_)) {
        if (known->dispatch.attempt == attempt) {
            known->closed = true;
            finish(known);
        }
    }
}

void FakeUpstream::cancelAllOf(const NodeName &owner)
{
    for (const AttemptPtr &attempt : std::vector<AttemptPtr>(attempts_)) {
        if (attempt->owner == owner) {
            attempt->closed = true;
            finish(attempt);
        }
    }
}

LoadReport FakeUpstream::report() const
{
    LoadReport report;
    report.upstream = entity_.name;
    report.running = static_cast<std::uint32_t>(running());
    report.waiting = static_cast<std::uint32_t>(attempts_.size() - running());
    report.freeCachePerMille = 500;
    report.leaving = leaving;
    report.modelVersion = "v1";
    return report;
}

void FakeUpstream::crash()
{
    for (const AttemptPtr &attempt : std::vector<AttemptPtr>(attempts_)) {
        fail(attempt, UpstreamFailure::Kind::Broken);
    }
}

void FakeUpstream::silence()
{
    for (const AttemptPtr &attempt : attempts_) {
        attempt->silent = true;
    }
}

void FakeUpstream::resendFinishedAnswers()
{
    for (const AttemptPtr &attempt : finishedAttempts_) {
        attempt->sink(headOf(attempt, "text/event-stream"));
        attempt->sink(UpstreamData { attempt->dispatch.attempt, attempt->firstData });
        attempt->sink(UpstreamEnd { attempt->dispatch.attempt });
    }
}

void FakeUpstream::emit(const AttemptPtr &attempt, const Event &event)
{
    if (attempt->silent || attempt->closed) {
        return;
    }
    attempt->lastByte = timeline_.now();
    attempt->endSent = std::holds_alternative<UpstreamEnd>(event);
    if (attempt->firstData.empty() && std::holds_alternative<UpstreamData>(event)) {
        attempt->firstData = std::get<UpstreamData>(event).data;
    }
    timeline_.after(Latency, [attempt, event]() {
        if (!attempt->closed) {
            attempt->sink(event);
        }
    });
}

void FakeUpstream::scheduleSilenceCheck(const AttemptPtr &attempt)
{
    TimePoint limit = std::max(attempt->lastByte, attempt->silenceReportedAt) + attempt->dispatch.silenceLimit;
    timeline_.after(limit - timeline_.now(), [this, attempt]() {
        if (attempt->closed || attempt->endSent) {
            return;
        }
        if (timeline_.now() - attempt->lastByte >= attempt->dispatch.silenceLimit) {
            attempt->silenceReportedAt = timeline_.now();
            const UpstreamFailure failure { attempt->dispatch.attempt, UpstreamFailure::Kind::Silent };
            timeline_.after(Latency, [attempt, failure]() {
                if (!attempt->closed) {
                    attempt->sink(failure);
                }
            });
        }
        scheduleSilenceCheck(attempt);
    });
}

void FakeUpstream::startQueuedAttempts()
{
    while (running() < entity_.seats) {
        AttemptPtr best;
        for (const AttemptPtr &attempt : attempts_) {
            if (!attempt->running && (!best || attempt->dispatch.priority < best->dispatch.priority)) {
                best = attempt;
            }
        }
        if (!best) {
            return;
        }
        best->running = true;
        timeline_.afterJittered(prefill, [this, best]() {
            emit(best, headOf(best, "text/event-stream"));
            generate(best);
        });
    }
}

void FakeUpstream::generate(const AttemptPtr &attempt)
{
    if (attempt->closed || std::find(attempts_.begin(), attempts_.end(), attempt) == attempts_.end()) {
        return;
    }
    if (frozen) {
        timeline_.after(FrozenPoll, [this, attempt]() { generate(attempt); });
        return;
    }
    CompletionFormat format = formatOf(attempt->request, attempt->hash);
    const AttemptId id = attempt->dispatch.attempt;
    if (attempt->nextToken == attempt->endToken) {
        emit(attempt, UpstreamData { id, format.lastChunk(attempt->endToken) });
        emit(attempt, UpstreamData { id, "[DONE]" });
        emit(attempt, UpstreamEnd { id });
        finish(attempt);
        return;
    }
    emit(attempt, UpstreamData { id, format.chunk(standInToken(attempt->hash, attempt->nextToken)) });
    ++attempt->nextToken;
    if (crashAfterTokens > 0 && --crashAfterTokens == 0) {
        crash();
        return;
    }
    Duration gap = tokenGap * (entity_.seats + running()) / entity_.seats;
    timeline_.after(gap, [this, attempt]() { generate(attempt); });
}

void FakeUpstream::execute(const AttemptPtr &attempt)
{
    if (frozen) {
        timeline_.after(FrozenPoll, [this, attempt]() { execute(attempt); });
        return;
    }
    const UpstreamDispatch &dispatch = attempt->dispatch;
    std::string key = headerOf(dispatch, "idempotency-key");
    executions_.push_back({ key, dispatch.request, timeline_.now() });
    if (loseAnswers > 0) {
        --loseAnswers;
        fail(attempt, UpstreamFailure::Kind::Broken);
        return;
    }
    timeline_.afterJittered(workTime, [this, attempt, key]() {
        emit(attempt, headOf(attempt, "application/json"));
        emit(attempt, UpstreamData { attempt->dispatch.attempt, serviceAnswer(key, attempt->dispatch.body) });
        emit(attempt, UpstreamEnd { attempt->dispatch.attempt });
        finish(attempt);
    });
}

void FakeUpstream::finish(const AttemptPtr &attempt)
{
    if (std::erase(attempts_, attempt) > 0) {
        finishedAttempts_.push_back(attempt);
    }
    if (engine_) {
        startQueuedAttempts();
    }
}

void FakeUpstream::fail(const AttemptPtr &attempt, UpstreamFailure::Kind kind)
{
    if (attempt->closed) {
        return;
    }
    attempt->closed = true;
    finish(attempt);
    timeline_.after(Latency, [attempt, kind]() { attempt->sink(UpstreamFailure { attempt->dispatch.attempt, kind }); });
}

UpstreamHead FakeUpstream::headOf(const AttemptPtr &attempt, const std::string &contentType) const
{
    UpstreamHead head;
    head.attempt = attempt->dispatch.attempt;
    head.status = 200;
    head.contentType = contentType;
    head.echoedAttempt = echoesWrongAttempt ? AttemptId(1, 1).text() : head.attempt.text();
    head.leaving = leaving;
    return head;
}

std::size_t FakeUpstream::running() const
{
    return static_cast<std::size_t>(
        std::count_if(attempts_.begin(), attempts_.end(), [](const AttemptPtr &attempt) { return attempt->running; }));
}

} // namespace GeraniumLever
