/** Source of attempt identifiers and random numbers, shared by all shard schedulers of a node. */
#pragma once

#include "core/core.h"

namespace GeraniumLever {

class AttemptIssuer
{
public:
    AttemptIssuer(std::uint64_t origin, std::uint64_t seed) : origin_(origin), random_(seed) { }

    /** Returns an identifier that this node has not issued before. */
    AttemptId issue() { return AttemptId(origin_, ++sequence_); }

    RandomSource &random() { return random_; }

private:
    std::uint64_t origin_;
    std::uint64_t sequence_ = 0;
    RandomSource random_;
};

} // namespace GeraniumLever
