#include "development/load/hold_load.h"

#include <iostream>
#include <string_view>
#include <utility>

#include "development/load/process_memory.h"

namespace GeraniumLever {

namespace {

constexpr Duration OpenPause = std::chrono::milliseconds(2);

std::string_view failureName(UpstreamFailure::Kind kind)
{
    switch (kind) {
    case UpstreamFailure::Kind::NotConnected:
        return "not_connected";
    case UpstreamFailure::Kind::Broken:
        return "broken";
    case UpstreamFailure::Kind::Silent:
        return "silent";
    }
    return "unlisted";
}

} // namespace

HoldLoad::HoldLoad(LoadSettings settings)
    : settings_(std::move(settings))
    , openTimer_(context_)
    , readTimer_(context_)
    , client_(UpstreamClientSettings {}, context_, [this](const Event &event) { take(event); })
{
}

bool HoldLoad::run()
{
    const std::size_t before = residentKibibytes(settings_.processId).value_or(0);
    open();
    scheduleRead();
    context_.run_for(settings_.duration);
    const std::size_t during = residentKibibytes(settings_.processId).value_or(0);
    print(before, during);
    return failed_ == 0 && ended_ == 0 && streaming_.size() == settings_.concurrency;
}

void HoldLoad::open()
{
    if (lastSequence_ >= settings_.concurrency) {
        return;
    }
    client_.dispatch(makeLoadRequest(settings_, settings_.router, ++lastSequence_));
    openTimer_.expires_after(OpenPause);
    openTimer_.async_wait([this](const boost::system::error_code &) { open(); });
}

void HoldLoad::scheduleRead()
{
    if (settings_.readEvery <= Duration(0)) {
        return;
    }
    readTimer_.expires_after(settings_.readEvery / static_cast<Duration::rep>(settings_.concurrency));
    readTimer_.async_wait([this](const boost::system::error_code &) {
        readOneStream();
        scheduleRead();
    });
}

void HoldLoad::readOneStream()
{
    if (lastSequence_ == 0) {
        return;
    }
    lastRead_ = lastRead_ % lastSequence_ + 1;
    client_.setReading(UpstreamReadControl { AttemptId(1, lastRead_), true });
}

void HoldLoad::take(const Event &event)
{
    if (const UpstreamData *data = std::get_if<UpstreamData>(&event)) {
        streaming_.insert(data->attempt);
        client_.setReading(UpstreamReadControl { data->attempt, false });
    } else if (const UpstreamEnd *ended = std::get_if<UpstreamEnd>(&event)) {
        ++ended_;
        streaming_.erase(ended->attempt);
    } else if (const UpstreamFailure *failure = std::get_if<UpstreamFailure>(&event)) {
        ++failed_;
        ++failures_[failure->kind];
        streaming_.erase(failure->attempt);
    }
}

void HoldLoad::print(std::size_t before, std::size_t during) const
{
    std::cout << "streams open=" << streaming_.size() << " ended=" << ended_ << " failed=" << failed_ << '\n';
    for (const auto &[kind, count] : failures_) {
        std::cout << "failure kind=" << failureName(kind) << " count=" << count << '\n';
    }
    std::cout << "router_rss_kib before=" << before << " during=" << during;
    if (!streaming_.empty() && during >= before) {
        std::cout << " per_stream=" << static_cast<double>(during - before) / static_cast<double>(streaming_.size());
    }
    std::cout << '\n';
}

} // namespace GeraniumLever
