#include "servers/relay/upstream_load.h"

#include <algorithm>
#include <cmath>

namespace GeraniumLever {

namespace {

/** Half of what other nodes had there has probably ended after this time: a typical answer takes one to two seconds. */
constexpr double OthersHalfLifeSeconds = 2.0;
/** Weight of the newest attempt in the share of failures. */
constexpr double FailureWeight = 0.15;
/** Weight of the newest request in the mean size. */
constexpr double TokenWeight = 0.1;
/** First exclusion after a failure; doubles with each further one in a row. */
constexpr Duration FirstSuspicion = std::chrono::milliseconds(400);
constexpr Duration LongestSuspicion = std::chrono::seconds(4);
/** Weight of the newest gap in the smoothed one, and how fast it is forgotten. */
constexpr double GapWeight = 0.15;
constexpr double GapHalfLifeSeconds = 1.0;
/** Pause before the first probe of an upstream that cannot be reached; grows by half with each further one. */
constexpr Duration FirstProbePause = std::chrono::milliseconds(250);
constexpr Duration LongestProbePause = std::chrono::milliseconds(1500);
/** How long the sum of the other nodes' work is relied on without a newer one. */
constexpr Duration KnownLifetime = WorkReportPeriod * 5;
/** How long an upstream that had no room is passed over if others have room. */
constexpr Duration FullPause = std::chrono::milliseconds(150);

} // namespace

void UpstreamLoad::begin(std::uint32_t tokens, std::uint32_t unread)
{
    ++own_;
    grant_ -= 1.0;
    ownTokens_ += tokens;
    ownUnread_ += unread;
    meanTokens_ += (static_cast<double>(tokens) - meanTokens_) * (meanTokens_ == 0.0 ? 1.0 : TokenWeight);
}

void UpstreamLoad::noteRead(std::uint32_t unread)
{
    ownUnread_ -= std::min<std::uint64_t>(ownUnread_, unread);
}

void UpstreamLoad::end(std::uint32_t tokens)
{
    own_ -= std::min<std::uint32_t>(own_, 1);
    ownTokens_ -= std::min<std::uint64_t>(ownTokens_, tokens);
}

void UpstreamLoad::state(const ReportedLoad &load, TimePoint now)
{
    const double stated = static_cast<double>(load.running) + static_cast<double>(load.waiting);
    others_ = std::max(0.0, stated - static_cast<double>(own_));
    statedAt_ = now;
}

void UpstreamLoad::learnOthers(const UpstreamWork &work, double freeSeats, double draw, TimePoint now)
{
    known_ = work;
    knownAt_ = now;
    // A node without a waiting request counts as one, for the request that may arrive before the next report.
    const double own = std::max(1.0, static_cast<double>(ownWaiting_));
    const double share = std::max(0.0, freeSeats) * own / (own + static_cast<double>(work.waiting));
    grant_ = std::floor(share + draw);
}

void UpstreamLoad::noteWaiting(bool waits)
{
    ownWaiting_ = waits ? ownWaiting_ + 1 : ownWaiting_ - std::min<std::uint32_t>(ownWaiting_, 1);
}

bool UpstreamLoad::mayTakeSeat(TimePoint now) const
{
    return !knowsOthers(now) || grant_ >= 1.0;
}

bool UpstreamLoad::knowsOthers(TimePoint now) const
{
    return knownAt_ != TimePoint() && now - knownAt_ <= KnownLifetime;
}

UpstreamWork UpstreamLoad::ownWork() const
{
    UpstreamWork work;
    work.requests = own_;
    work.tokens = static_cast<std::uint32_t>(ownTokens_);
    work.unreadTokens = static_cast<std::uint32_t>(ownUnread_);
    work.waiting = ownWaiting_;
    return work;
}

void UpstreamLoad::noteAnswered(TimePoint)
{
    failureShare_ *= 1.0 - FailureWeight;
    failuresInRow_ = 0;
    unreachable_ = false;
    suspectUntil_ = TimePoint();
}

void UpstreamLoad::noteFailed(TimePoint now)
{
    failureShare_ = failureShare_ * (1.0 - FailureWeight) + FailureWeight;
    const Duration pause = FirstSuspicion * (1 << std::min<std::uint32_t>(failuresInRow_, 4));
    ++failuresInRow_;
    suspectUntil_ = now + std::min(pause, LongestSuspicion);
}

double UpstreamLoad::tokens(TimePoint now) const
{
    const double others = knowsOthers(now) ? static_cast<double>(known_.tokens)
                                           : (requests(now) - static_cast<double>(own_)) * meanTokens_;
    return static_cast<double>(ownTokens_) + others;
}

std::optional<Duration> UpstreamLoad::age(TimePoint now) const
{
    const TimePoint newest = knowsOthers(now) ? knownAt_ : statedAt_;
    return newest == TimePoint() ? std::nullopt : std::optional<Duration>(now - newest);
}

double UpstreamLoad::unreadTokens(TimePoint now) const
{
    const double others = knowsOthers(now) ? static_cast<double>(known_.unreadTokens) : 0.0;
    return static_cast<double>(ownUnread_) + others;
}

void UpstreamLoad::noteUnreachable(TimePoint now)
{
    if (!unreachable_) {
        unreachable_ = true;
        probing_ = false;
        probePause_ = FirstProbePause;
        nextProbe_ = now + probePause_;
    }
}

void UpstreamLoad::noteProbed(bool reached, TimePoint now)
{
    probing_ = false;
    if (reached) {
        unreachable_ = false;
        return;
    }
    probePause_ = std::min(probePause_ * 3 / 2, LongestProbePause);
    nextProbe_ = now + probePause_;
}

bool UpstreamLoad::takeProbe(TimePoint now)
{
    if (!unreachable_ || probing_ || now < nextProbe_) {
        return false;
    }
    probing_ = true;
    return true;
}

void UpstreamLoad::noteGap(Duration gap, TimePoint now)
{
    const double seconds = std::chrono::duration<double>(gap).count();
    gapSeconds_ += (seconds - gapSeconds_) * GapWeight;
    gapAt_ = now;
}

Duration UpstreamLoad::gap(TimePoint now) const
{
    const double age = std::chrono::duration<double>(now - gapAt_).count();
    const double seconds = gapSeconds_ * std::exp2(-age / GapHalfLifeSeconds);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

void UpstreamLoad::noteFull(TimePoint now)
{
    fullUntil_ = now + FullPause;
}

double UpstreamLoad::requests(TimePoint now) const
{
    if (knowsOthers(now)) {
        return static_cast<double>(known_.requests) + static_cast<double>(own_);
    }
    const double age = std::chrono::duration<double>(now - statedAt_).count();
    const double others = statedAt_ == TimePoint() ? 0.0 : others_ * std::exp2(-age / OthersHalfLifeSeconds);
    return others + static_cast<double>(own_);
}

} // namespace GeraniumLever
