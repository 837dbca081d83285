#include "servers/relay/upstream_load.h"

#include <algorithm>
#include <cmath>

namespace GeraniumLever {

namespace {

/** Half-life of other nodes' requests after the last reported load: a typical answer takes one to two seconds. */
constexpr double OthersHalfLifeSeconds = 2.0;
/** Weight of the newest attempt in the failure share. */
constexpr double FailureWeight = 0.15;
/** Weight of the newest request in the mean size. */
constexpr double TokenWeight = 0.1;
/** Exclusion time after a failure; doubles with each consecutive failure. */
constexpr Duration FirstExclusion = std::chrono::milliseconds(400);
constexpr Duration MaxExclusion = std::chrono::seconds(4);
/** Weight of the newest gap in the smoothed one, and the half-life with which it decays. */
constexpr double TokenGapWeight = 0.15;
constexpr double TokenGapHalfLifeSeconds = 1.0;
/** Delay before the first probe of an unreachable upstream; grows by half with each further probe. */
constexpr Duration FirstProbeDelay = std::chrono::milliseconds(250);
constexpr Duration MaxProbeDelay = std::chrono::milliseconds(1500);
/** Time for which the other nodes' total is used without a newer one. */
constexpr Duration OthersWorkLifetime = WorkReportPeriod * 5;
/** Time for which an upstream without free capacity is skipped while others have some. */
constexpr Duration FullBackoff = std::chrono::milliseconds(150);

} // namespace

void UpstreamLoad::begin(std::uint32_t tokens, std::uint32_t unreadTokens, TimePoint now)
{
    busySince_ = ownRequests_ == 0 ? now : busySince_;
    ++ownRequests_;
    availableSeats_ -= 1.0;
    ownTokens_ += tokens;
    ownUnreadTokens_ += unreadTokens;
    meanTokens_ += (static_cast<double>(tokens) - meanTokens_) * (meanTokens_ == 0.0 ? 1.0 : TokenWeight);
}

void UpstreamLoad::noteRead(std::uint32_t unreadTokens)
{
    ownUnreadTokens_ -= std::min<std::uint64_t>(ownUnreadTokens_, unreadTokens);
}

void UpstreamLoad::end(std::uint32_t tokens)
{
    ownRequests_ -= std::min<std::uint32_t>(ownRequests_, 1);
    ownTokens_ -= std::min<std::uint64_t>(ownTokens_, tokens);
}

void UpstreamLoad::updateReported(const ReportedLoad &load, TimePoint now)
{
    const double reported = static_cast<double>(load.running) + static_cast<double>(load.waiting);
    reportedOthers_ = std::max(0.0, reported - static_cast<double>(ownRequests_));
    reportedAt_ = now;
    lastSignAt_ = now;
}

void UpstreamLoad::updateOthers(const UpstreamWork &work, double freeSeats, double draw, TimePoint now)
{
    othersWork_ = work;
    othersWorkAt_ = now;
    // A node without waiting requests counts as having one, for a request that may arrive before the next report.
    const double own = std::max(1.0, static_cast<double>(ownWaiting_));
    const double share = std::max(0.0, freeSeats) * own / (own + static_cast<double>(work.waiting));
    availableSeats_ = std::floor(share + draw);
}

void UpstreamLoad::noteWaiting(bool waits)
{
    ownWaiting_ = waits ? ownWaiting_ + 1 : ownWaiting_ - std::min<std::uint32_t>(ownWaiting_, 1);
}

bool UpstreamLoad::mayTakeSeat(TimePoint now) const
{
    return !hasOthersWork(now) || availableSeats_ >= 1.0;
}

bool UpstreamLoad::hasOthersWork(TimePoint now) const
{
    return othersWorkAt_ != TimePoint() && now - othersWorkAt_ <= OthersWorkLifetime;
}

UpstreamWork UpstreamLoad::ownWork() const
{
    UpstreamWork work;
    work.requests = ownRequests_;
    work.tokens = static_cast<std::uint32_t>(ownTokens_);
    work.unreadTokens = static_cast<std::uint32_t>(ownUnreadTokens_);
    work.waiting = ownWaiting_;
    return work;
}

void UpstreamLoad::noteAnswered(TimePoint now)
{
    lastSignAt_ = now;
    failureShare_ *= 1.0 - FailureWeight;
    consecutiveFailures_ = 0;
    unreachable_ = false;
    suspectUntil_ = TimePoint();
}

void UpstreamLoad::noteFailed(TimePoint now)
{
    failureShare_ = failureShare_ * (1.0 - FailureWeight) + FailureWeight;
    const Duration exclusion = FirstExclusion * (1 << std::min<std::uint32_t>(consecutiveFailures_, 4));
    ++consecutiveFailures_;
    suspectUntil_ = now + std::min(exclusion, MaxExclusion);
}

double UpstreamLoad::tokens(TimePoint now) const
{
    const double others = hasOthersWork(now) ? static_cast<double>(othersWork_.tokens)
                                             : (requests(now) - static_cast<double>(ownRequests_)) * meanTokens_;
    return static_cast<double>(ownTokens_) + others;
}

std::optional<Duration> UpstreamLoad::age(TimePoint now) const
{
    const TimePoint newest = hasOthersWork(now) ? othersWorkAt_ : reportedAt_;
    return newest == TimePoint() ? std::nullopt : std::optional<Duration>(now - newest);
}

double UpstreamLoad::unreadTokens(TimePoint now) const
{
    const double others = hasOthersWork(now) ? static_cast<double>(othersWork_.unreadTokens) : 0.0;
    return static_cast<double>(ownUnreadTokens_) + others;
}

void UpstreamLoad::noteUnreachable(TimePoint now)
{
    if (!unreachable_) {
        unreachable_ = true;
        probing_ = false;
        probeDelay_ = FirstProbeDelay;
        nextProbeAt_ = now + probeDelay_;
    }
}

void UpstreamLoad::noteProbed(bool reached, TimePoint now)
{
    probing_ = false;
    if (reached) {
        unreachable_ = false;
        return;
    }
    probeDelay_ = std::min(probeDelay_ * 3 / 2, MaxProbeDelay);
    nextProbeAt_ = now + probeDelay_;
}

bool UpstreamLoad::startProbeIfDue(TimePoint now)
{
    if (!unreachable_ || probing_ || now < nextProbeAt_) {
        return false;
    }
    probing_ = true;
    return true;
}

void UpstreamLoad::noteTokenGap(Duration gap, TimePoint now)
{
    lastSignAt_ = now;
    const double seconds = std::chrono::duration<double>(gap).count();
    tokenGapSeconds_ += (seconds - tokenGapSeconds_) * TokenGapWeight;
    lastTokenGapAt_ = now;
}

Duration UpstreamLoad::tokenGap(TimePoint now) const
{
    const double age = std::chrono::duration<double>(now - lastTokenGapAt_).count();
    const double seconds = tokenGapSeconds_ * std::exp2(-age / TokenGapHalfLifeSeconds);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

void UpstreamLoad::noteFull(TimePoint now)
{
    fullUntil_ = now + FullBackoff;
}

double UpstreamLoad::requests(TimePoint now) const
{
    if (hasOthersWork(now)) {
        return static_cast<double>(othersWork_.requests) + static_cast<double>(ownRequests_);
    }
    const double age = std::chrono::duration<double>(now - reportedAt_).count();
    const double others = reportedAt_ == TimePoint() ? 0.0 : reportedOthers_ * std::exp2(-age / OthersHalfLifeSeconds);
    return others + static_cast<double>(ownRequests_);
}

} // namespace GeraniumLever
