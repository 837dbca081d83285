#include "main/relay/store_poller.h"

#include <algorithm>
#include <random>

namespace GeraniumLever {

namespace {

Duration fractionOf(Duration time, double fraction)
{
    return std::chrono::duration_cast<Duration>(time * fraction);
}

/** Period of the upstreams' reads as a fraction of the apply time; the rest is left for the read itself and for timer
 *  delay. */
constexpr double UpstreamPeriodFraction = 0.65;
/** How long a read waits for a change of the configuration, as a fraction of the apply time. The configuration is known
 *  to be the newest one as of the sending of the last read, so a longer wait lets keys lapse sooner when the store is
 *  lost. */
constexpr double ConfigurationWaitFraction = 0.5;
/** Least time between two reads of the configuration as a fraction of the apply time, so that frequent changes of a
 * large one leave most of the link to requests. */
constexpr double MinConfigurationPeriodFraction = 0.25;
/** Spreads the reads of different nodes over time. */
constexpr double PollPeriodJitter = 0.1;
/** Time from sending a read that fails to sending it again, at first and while the store stays unavailable. */
constexpr Duration FirstRetryPeriod = std::chrono::milliseconds(250);
constexpr Duration RetryPeriod = std::chrono::milliseconds(450);
constexpr unsigned FirstRetries = 4;
/** Spreads the retries of all nodes, which an outage lets fail at the same moment. */
constexpr double RetryJitter = 0.3;
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
    , configurationWait_(fractionOf(applyTime, ConfigurationWaitFraction))
    , minConfigurationPeriod_(fractionOf(applyTime, MinConfigurationPeriodFraction))
    , upstreamPeriod_(fractionOf(applyTime, UpstreamPeriodFraction))
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
    // A connection that went silent during an outage would hold up a read that waits. After a failure, the
    // configuration is confirmed at once, since keys may have lapsed meanwhile.
    const Duration wait = storeUnavailable_ || configurationLost_ ? Duration(0) : configurationWait_;
    store_.readConfiguration(wait, [this, asOf](const Result<StoredConfiguration> &result) {
        const bool read = succeeded(result);
        configurationLost_ = !trackAvailability(read ? std::nullopt : std::optional<Error>(errorOf(result)));
        if (read) {
            observer_.configurationRead(valueOf(result), asOf);
        }
        const Duration delay = read
            ? random_.jittered(minConfigurationPeriod_, PollPeriodJitter) - (clock_.now() - asOf)
            : retryDelay(asOf);
        schedule(configurationTimer_, delay, &StorePoller::readConfiguration);
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
        const Duration delay =
            read ? random_.jittered(upstreamPeriod_, PollPeriodJitter) - (clock_.now() - asOf) : retryDelay(asOf);
        schedule(upstreamTimer_, delay, &StorePoller::readUpstreams);
    });
}

Duration StorePoller::retryDelay(TimePoint sentAt)
{
    const Duration period = failures_ > FirstRetries ? RetryPeriod : FirstRetryPeriod;
    return random_.jittered(std::max(period - (clock_.now() - sentAt), MinFailureRetryDelay), RetryJitter);
}

void StorePoller::schedule(boost::asio::steady_timer &timer, Duration delay, void (StorePoller::*read)())
{
    if (stopped_) {
        return;
    }
    timer.expires_after(std::max(delay, Duration(0)));
    timer.async_wait([this, read](const boost::system::error_code &failure) {
        if (!failure && !stopped_) {
            (this->*read)();
        }
    });
}

bool StorePoller::trackAvailability(const std::optional<Error> &error)
{
    const bool storeAnswered = !error.has_value() || error->code == ResultCode::ObjectNotFound;
    if (!storeAnswered) {
        storeUnavailable_ = true;
        ++failures_;
        observer_.readFailed(*error);
        return false;
    }
    failures_ = 0;
    if (storeUnavailable_) {
        storeUnavailable_ = false;
        observer_.storeRecovered();
    }
    return true;
}

} // namespace GeraniumLever
