#include "main/relay/store_poller.h"

#include <random>

namespace GeraniumLever {

namespace {

/** Share of the time in which a change must be known; the rest is for the call and for the timer's lateness. */
constexpr double PeriodShareOfApplyTime = 0.65;
/** Keeps the nodes' reads apart. */
constexpr double PeriodSpread = 0.1;
/** Not longer: with ReregistrationGrace it must pass before a node counts as in touch with the store again, three
 * seconds. */
constexpr Duration PauseAfterFailure = std::chrono::milliseconds(250);

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
    , configurationTimer_(context)
    , upstreamTimer_(context)
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
    configurationTimer_.cancel();
    upstreamTimer_.cancel();
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
        schedule(configurationTimer_, read, &KnowledgeReader::readConfiguration);
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
        schedule(upstreamTimer_, read, &KnowledgeReader::readUpstreams);
    });
}

void KnowledgeReader::schedule(boost::asio::steady_timer &timer, bool succeeded, void (KnowledgeReader::*read)())
{
    if (stopped_) {
        return;
    }
    timer.expires_after(random_.jittered(succeeded ? period_ : PauseAfterFailure, PeriodSpread));
    timer.async_wait([this, read](const boost::system::error_code &failure) {
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
