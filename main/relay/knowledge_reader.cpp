#include "main/relay/knowledge_reader.h"

#include <algorithm>
#include <random>

namespace GeraniumLever {

namespace {

/** Share of the time in which a change must be known; the rest is for the call and for the timer's lateness. */
constexpr double PeriodShareOfApplyTime = 0.65;
/** Keeps the nodes' reads apart. */
constexpr double PeriodSpread = 0.1;
/** Doubles with each further failure in a row; the longest one leaves time to learn of the store's return. */
constexpr Duration PauseAfterFailure = std::chrono::milliseconds(250);
constexpr Duration LongestPauseAfterFailure = std::chrono::milliseconds(1000);

} // namespace

KnowledgeReader::KnowledgeReader(boost::asio::io_context &context,
                                 PlatformStore &store,
                                 Duration applyTime,
                                 const Clock &clock,
                                 KnowledgeObserver &observer)
    : store_(store)
    , clock_(clock)
    , observer_(observer)
    , period_(std::chrono::duration_cast<Duration>(applyTime * PeriodShareOfApplyTime))
    , configuration_(context)
    , upstreams_(context)
    , random_(std::random_device()())
{
}

void KnowledgeReader::start()
{
    readConfiguration();
    readUpstreams();
}

void KnowledgeReader::stop()
{
    stopped_ = true;
    configuration_.timer.cancel();
    upstreams_.timer.cancel();
}

void KnowledgeReader::readConfiguration()
{
    const TimePoint asOf = clock_.now();
    store_.readConfiguration([this, asOf](Result<SiteConfiguration> result) {
        const bool read = succeeded(result);
        noteResult(read ? std::nullopt : std::optional<Error>(errorOf(result)));
        if (read) {
            observer_.configurationRead(
                std::make_shared<const SiteConfiguration>(std::get<SiteConfiguration>(std::move(result))), asOf);
        }
        schedule(configuration_, read, &KnowledgeReader::readConfiguration);
    });
}

void KnowledgeReader::readUpstreams()
{
    const TimePoint asOf = clock_.now();
    store_.readUpstreams([this, asOf](Result<std::vector<UpstreamEntry>> result) {
        const bool read = succeeded(result);
        noteResult(read ? std::nullopt : std::optional<Error>(errorOf(result)));
        if (read) {
            observer_.upstreamsRead(std::get<std::vector<UpstreamEntry>>(std::move(result)), asOf);
        }
        schedule(upstreams_, read, &KnowledgeReader::readUpstreams);
    });
}

void KnowledgeReader::schedule(Reading &reading, bool succeeded, void (KnowledgeReader::*read)())
{
    if (stopped_) {
        return;
    }
    reading.failurePause =
        succeeded ? Duration(0) : std::clamp(reading.failurePause * 2, PauseAfterFailure, LongestPauseAfterFailure);
    reading.timer.expires_after(random_.jittered(succeeded ? period_ : reading.failurePause, PeriodSpread));
    reading.timer.async_wait([this, read](const boost::system::error_code &failure) {
        if (!failure && !stopped_) {
            (this->*read)();
        }
    });
}

void KnowledgeReader::noteResult(const std::optional<Error> &error)
{
    const bool storeAnswered = !error.has_value() || error->code == ResultCode::ObjectNotFound;
    if (!storeAnswered) {
        storeLost_ = true;
        observer_.readFailed(*error);
        return;
    }
    if (storeLost_) {
        storeLost_ = false;
        observer_.storeRegained();
    }
}

} // namespace GeraniumLever
