/** Invariants of the scheduler, checked at every decision and tick of a run. */
#pragma once

#include <set>
#include <string>
#include <vector>

#include "development/bench/simulated_request.h"

namespace GeraniumLever {

/** Longest time after a request's deadline at which it may still be without an answer. */
constexpr Duration AnswerBound = std::chrono::milliseconds(50);

/** Longest time for which a class may wait without a grant. */
constexpr Duration UnservedBound = std::chrono::seconds(120);

class InvariantChecker
{
public:
    using Requests = Table<std::uint64_t, SimulatedRequest>;

    /** Notes an ejection or readmission. */
    void noteDecision(const Decision &decision);

    /** The engine has been made slow; from now on its seats are none that a higher tier should get. */
    void noteSlow(const UpstreamName &engine) { slow_.insert(engine); }

    /** No lower tier may get a seat in tier order while a higher one waits for it. */
    void checkGrant(const Requests &requests, const SimulatedRequest &granted, const std::string &reason);

    /** No request may be refused for lack of seats while a lower tier holds one that could be freed at a usable engine.
     */
    void checkRefusal(const Requests &requests, const SimulatedRequest &refused, ResultCode code);

    /** Only for a waiting request of a higher tier may an attempt be paused. */
    void checkPause(const Requests &requests, const SimulatedRequest &paused);

    /** The engine must not hold more attempts than it has seats, times the schedulers that may grant. */
    void checkSeats(const UpstreamName &engine, std::size_t load, std::size_t seats, std::size_t schedulers);

    /** Every request is answered at its deadline at the latest, and every class is served. */
    void checkWait(const SimulatedRequest &request, TimePoint now, Duration detection);
    void checkServed(const ClassName &requestClass, Duration unserved);

    const std::vector<std::string> &violations() const { return violations_; }

private:
    void report(const std::string &text);

    std::set<UpstreamName> ejected_;
    std::set<UpstreamName> slow_;
    std::vector<std::string> violations_;
};

} // namespace GeraniumLever
