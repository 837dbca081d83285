#include "main/relay/store_poller.h"

#include <algorithm>
#include <random>

namespace GeraniumLever {

namespace {

/** Poll period as a fraction of the apply time; the rest is left for the read itself and for timer delay. */
constexpr double PollPeriodFraction = 0.65;
/** Spreads the reads of different nodes over time. */
constexpr double PollPeriodJitter = 0.1;
/** Time from sending a read that fails to sending it again. */
constexpr Duration FailureRetryPeriod = std::chrono::milliseconds(250);
/** Pause after a read that took longer than that to fail. */
constexpr Duration MinFailureRetryDelay = std::chrono::milliseconds(100);

} // namespace

StorePoller::StorePoller(boost::asio::io_context &context,
                         PlatformStore &store,
                         Duration applyTime,
                         const Clock &clock,
                         StorePollObserver &observer)
    : store_(store)
    , clock_(clock)
    , observer_(observer)
    , period_(std::chrono::duration_cast<Duration>(applyTime * PollPeriodFraction))
    , configurationTimer_(context)
    , upstreamTimer_(context)
    , random_(std::random_device()())
{
}

void StorePoller::start()
{
    readConfiguration();
    readUpstreams();
}

void StorePoller::stop()
{
    stopped_ = true;
    configurationTimer_.cancel();
    upstreamTimer_.cancel();
}

void StorePoller::readConfiguration()
{
    const TimePoint asOf = clock_.now();
    store_.readConfiguration([this, asOf](const Result<StoredConfiguration> &result) {
        const bool read = succeeded(result);
        trackAvailability(read ? std::nullopt : std::optional<Error>(errorOf(result)));
        if (read) {
            observer_.configurationRead(valueOf(result), asOf);
        }
        schedule(configurationTimer_, asOf, read, &StorePoller::readConfiguration);
    });
}

void StorePoller::readUpstreams()
{
    const TimePoint asOf = clock_.now();
    store_.readUpstreams([this, asOf](const Result<StoredUpstreams> &result) {
        const bool read = succeeded(result);
        trackAvailability(read ? std::nullopt : std::optional<Error>(errorOf(result)));
        if (read) {
            observer_.upstreamsRead(valueOf(result), asOf);
        }
        schedule(upstreamTimer_, asOf, read, &StorePoller::readUpstreams);
    });
}

void StorePoller::schedule(boost::asio::steady_timer &timer,
                           TimePoint sentAt,
                           bool succeeded,
                           void (StorePoller::*read)())
{
    if (stopped_) {
        return;
    }
    const Duration retryDelay = std::max(FailureRetryPeriod - (clock_.now() - sentAt), MinFailureRetryDelay);
    timer.expires_after(random_.jittered(succeeded ? period_ : retryDelay, PollPeriodJitter));
    timer.async_wait([this, read](const boost::system::error_code &failure) {
        if (!failure && !stopped_) {
            (this->*read)();
        }
    });
}

void StorePoller::trackAvailability(const std::optional<Error> &error)
{
    const bool storeAnswered = !error.has_value() || error->code == ResultCode::ObjectNotFound;
    if (!storeAnswered) {
        storeUnavailable_ = true;
        observer_.readFailed(*error);
        return;
    }
    if (storeUnavailable_) {
        storeUnavailable_ = false;
        observer_.storeRecovered();
    }
}

} // namespace GeraniumLever
