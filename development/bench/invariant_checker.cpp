#include "development/bench/invariant_checker.h"

namespace GeraniumLever {

namespace {

/** Further violations of a run are not kept. */
constexpr std::size_t MaxViolations = 3;

using Phase = SimulatedRequest::Phase;

std::string describe(const SimulatedRequest &request)
{
    return request.request.request.text() + " of " + request.requestClass.name.text();
}

} // namespace

void InvariantChecker::report(const std::string &text)
{
    if (violations_.size() < MaxViolations) {
        violations_.push_back(text);
    }
}

void InvariantChecker::noteDecision(const Decision &decision)
{
    if (decision.kind == "eject") {
        ejected_.insert(UpstreamName(decision.fields.front().second));
    } else if (decision.kind == "readmit") {
        ejected_.erase(UpstreamName(decision.fields.front().second));
    }
}

void InvariantChecker::checkGrant(const Requests &requests, const SimulatedRequest &granted, const std::string &reason)
{
    if (reason != "tier_order") {
        return;
    }
    for (const auto &[number, other] : requests) {
        const bool first = other.phase == Phase::Waiting && other.shard == granted.shard
            && other.scheduler == granted.scheduler && other.requestClass.tier < granted.requestClass.tier;
        if (first && other.excluded.empty()) {
            report(describe(granted) + " got a seat before waiting " + describe(other));
        }
    }
}

void InvariantChecker::checkRefusal(const Requests &requests, const SimulatedRequest &refused, ResultCode code)
{
    const bool forLackOfSeats =
        code == ResultCode::Shed || code == ResultCode::DeadlineUnreachable || code == ResultCode::QueueFull;
    if (!forLackOfSeats || refused.retry) {
        return;
    }
    for (const auto &[number, other] : requests) {
        const bool lower = other.phase == Phase::Running && other.shard == refused.shard
            && other.scheduler == refused.scheduler && other.requestClass.tier > refused.requestClass.tier;
        const bool pausable = other.requestClass.preemptible && !other.pausing && !other.guaranteed;
        const bool usable = ejected_.count(other.upstream) == 0 && slow_.count(other.upstream) == 0;
        if (lower && pausable && usable) {
            report(describe(refused) + " was refused while " + describe(other) + " kept its seat");
            return;
        }
    }
}

void InvariantChecker::checkPause(const Requests &requests, const SimulatedRequest &paused)
{
    for (const auto &[number, other] : requests) {
        if (other.phase == Phase::Waiting && other.shard == paused.shard && other.scheduler == paused.scheduler
            && other.requestClass.tier < paused.requestClass.tier) {
            return;
        }
    }
    report(describe(paused) + " was paused although no higher tier waits");
}

void InvariantChecker::checkSeats(const UpstreamName &engine,
                                  std::size_t load,
                                  std::size_t seats,
                                  std::size_t schedulers)
{
    if (load > seats * schedulers) {
        report(engine.text() + " holds " + std::to_string(load) + " attempts");
    }
}

void InvariantChecker::checkWait(const SimulatedRequest &request, TimePoint now, Duration detection)
{
    if (request.phase == Phase::Waiting && now > request.deadline + AnswerBound + detection) {
        report(describe(request) + " has no answer after its deadline");
    }
}

void InvariantChecker::checkServed(const ClassName &requestClass, Duration unserved)
{
    if (unserved > UnservedBound) {
        report(requestClass.text() + " waits without any grant for too long");
    }
}

} // namespace GeraniumLever
