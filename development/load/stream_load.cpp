#include "development/load/stream_load.h"

#include <iostream>
#include <utility>

#include "development/load/process_memory.h"

namespace GeraniumLever {

StreamLoad::StreamLoad(LoadSettings settings)
    : settings_(std::move(settings))
    , client_(UpstreamClientSettings {}, context_, [this](const Event &event) { take(event); })
{
}

bool StreamLoad::run()
{
    begun_ = clock_.now();
    const std::optional<double> processorBefore = processorSeconds(settings_.processId);
    for (std::size_t index = 0; index < settings_.concurrency; ++index) {
        begin();
    }
    while (!open_.empty()) {
        context_.run_one();
    }
    const std::optional<double> processorAfter = processorSeconds(settings_.processId);
    std::optional<double> processorTime;
    if (processorBefore.has_value() && processorAfter.has_value()) {
        processorTime = *processorAfter - *processorBefore;
    }
    print(clock_.now() - begun_, processorTime);
    return broken_ == 0;
}

void StreamLoad::begin()
{
    const TimePoint now = clock_.now();
    if (lastSequence_ >= settings_.requests || now - begun_ >= settings_.duration) {
        return;
    }
    const UpstreamDispatch request = makeLoadRequest(settings_, settings_.router, ++lastSequence_);
    open_.emplace(request.attempt, StreamRecord(now));
    client_.dispatch(request);
}

void StreamLoad::take(const Event &event)
{
    if (const UpstreamHead *head = std::get_if<UpstreamHead>(&event)) {
        open_.at(head->attempt).take(*head);
    } else if (const UpstreamData *data = std::get_if<UpstreamData>(&event)) {
        open_.at(data->attempt).take(*data, clock_.now(), gaps_);
    } else if (const UpstreamEnd *ended = std::get_if<UpstreamEnd>(&event)) {
        end(ended->attempt, true);
    } else if (const UpstreamFailure *failure = std::get_if<UpstreamFailure>(&event)) {
        end(failure->attempt, false);
    }
}

void StreamLoad::end(const AttemptId &attempt, bool completed)
{
    const StreamRecord record = open_.at(attempt);
    open_.erase(attempt);
    const bool whole = completed && record.whole();
    tokens_ += record.tokens();
    ++(whole ? whole_ : broken_);
    if (!whole) {
        ++brokenByStatus_[record.status()];
    }
    if (record.firstToken().has_value()) {
        firstTokens_.record(*record.firstToken());
    }
    begin();
}

void StreamLoad::print(Duration elapsed, std::optional<double> processorTime) const
{
    const double seconds = std::chrono::duration<double>(elapsed).count();
    std::cout << "streams whole=" << whole_ << " not_whole=" << broken_ << " seconds=" << seconds << '\n';
    std::cout << "token_events=" << tokens_ << " token_events_per_s=" << static_cast<double>(tokens_) / seconds
              << " requests_per_s=" << static_cast<double>(whole_) / seconds << '\n';
    std::cout << "first_token " << firstTokens_.summary() << "\ngap " << gaps_.summary() << '\n';
    if (processorTime.has_value()) {
        std::cout << "router_cpu_seconds=" << *processorTime
                  << " router_cpu_us_per_token=" << *processorTime * 1e6 / static_cast<double>(tokens_) << '\n';
    }
    for (const auto &[status, count] : brokenByStatus_) {
        std::cout << "not_whole status=" << status << " count=" << count << '\n';
    }
}

} // namespace GeraniumLever
