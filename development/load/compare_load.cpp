#include "development/load/compare_load.h"

#include <iostream>
#include <utility>

namespace GeraniumLever {

CompareLoad::CompareLoad(LoadSettings settings)
    : settings_(std::move(settings))
    , timer_(context_)
    , client_(UpstreamClientSettings {}, context_, [this](const Event &event) { take(event); })
{
}

bool CompareLoad::run()
{
    constexpr double Median = 0.5;
    constexpr double High = 0.99;
    begun_ = clock_.now();
    timer_.expires_after(Duration(0));
    scheduleNext();
    while (!finished_ || !open_.empty()) {
        context_.run_one();
    }
    std::cout << "direct requests=" << direct_.count() << ' ' << direct_.summary() << '\n';
    std::cout << "routed requests=" << routed_.count() << ' ' << routed_.summary() << '\n';
    std::cout << "added p50=" << formatMilliseconds(routed_.percentile(Median) - direct_.percentile(Median))
              << "ms p99=" << formatMilliseconds(routed_.percentile(High) - direct_.percentile(High))
              << "ms incomplete=" << incomplete_ << '\n';
    return incomplete_ == 0;
}

void CompareLoad::scheduleNext()
{
    timer_.async_wait([this](const boost::system::error_code &) { begin(); });
}

void CompareLoad::begin()
{
    const TimePoint now = clock_.now();
    if (lastSequence_ >= settings_.requests || now - begun_ >= settings_.duration) {
        finished_ = true;
        return;
    }
    const bool throughRouter = lastSequence_ % 2 == 1;
    const UpstreamDispatch request =
        makeLoadRequest(settings_, throughRouter ? settings_.router : settings_.engine, ++lastSequence_);
    open_.emplace(request.attempt, OpenRequest { now, throughRouter, false });
    client_.dispatch(request);
    constexpr double MicrosecondsPerSecond = 1e6;
    timer_.expires_at(timer_.expiry() + Duration(static_cast<Duration::rep>(MicrosecondsPerSecond / settings_.rate)));
    scheduleNext();
}

void CompareLoad::take(const Event &event)
{
    if (const UpstreamData *data = std::get_if<UpstreamData>(&event)) {
        firstByte(data->attempt);
    } else if (const UpstreamEnd *ended = std::get_if<UpstreamEnd>(&event)) {
        end(ended->attempt, true);
    } else if (const UpstreamFailure *failure = std::get_if<UpstreamFailure>(&event)) {
        end(failure->attempt, false);
    }
}

void CompareLoad::firstByte(const AttemptId &attempt)
{
    OpenRequest &request = open_.at(attempt);
    if (request.answered) {
        return;
    }
    request.answered = true;
    (request.throughRouter ? routed_ : direct_).record(clock_.now() - request.begun);
}

void CompareLoad::end(const AttemptId &attempt, bool completed)
{
    if (!completed || !open_.at(attempt).answered) {
        ++incomplete_;
    }
    open_.erase(attempt);
}

} // namespace GeraniumLever
