/** A request on its way through the simulation, as its ingress sees it. */
#pragma once

#include <optional>

#include "development/bench/workload.h"

namespace GeraniumLever {

struct SimulatedRequest
{
    enum class Phase : std::uint8_t {
        Waiting,
        Running,
        Over,
    };

    BenchRequest request;
    ShardKey shard;
    RequestClass requestClass;
    std::size_t ingress = 0;
    /** Index of the policy instance that the request is known to. */
    std::size_t scheduler = 0;
    Phase phase = Phase::Waiting;
    TimePoint arrived;
    /** When the current wait for a seat began, and when it must have ended. */
    TimePoint asked;
    TimePoint deadline;
    bool retry = false;
    std::vector<UpstreamName> excluded;
    AttemptId attempt;
    std::size_t engine = 0;
    UpstreamName upstream;
    TimePoint dispatched;
    TimePoint lastProgress;
    bool pausing = false;
    bool guaranteed = false;
    /** Tokens of the current attempt, and of all earlier ones. */
    std::uint32_t attemptTokens = 0;
    std::uint32_t deliveredBefore = 0;
    std::optional<TimePoint> attemptFirstToken;
    std::optional<TimePoint> firstToken;
    /** Prompt tokens that the engine had to compute for the current attempt. */
    double computedPrompt = 0.0;
    /** Why the prompt has to be computed again at the next dispatch; empty for the first one. */
    std::string computedAgain;
    /** True if it arrived after the measured part of the run and is only there to keep up the load. */
    bool background = false;
};

} // namespace GeraniumLever
