/** What a node believes of the load and health of one upstream. */
#pragma once

#include <cstdint>

#include "servers/relay/relay_messages.h"

namespace GeraniumLever {

/** Entity of the placement: the requests that this node has at an upstream, what the upstream last stated, and how its
 *  attempts ended. */
class UpstreamLoad
{
public:
    /** A request of the given prompt size is sent. */
    void begin(std::uint32_t tokens);

    /** A request of the given prompt size is no longer there. */
    void end(std::uint32_t tokens);

    void state(const StatedLoad &load, TimePoint now);

    /** An attempt was answered. */
    void noteAnswered(TimePoint now);

    /** An attempt failed for a reason that lies with the upstream or the way to it. */
    void noteFailed(TimePoint now);

    /** The upstream had no room. */
    void noteFull(TimePoint now);

    /** Requests believed to be at the upstream, from all nodes. */
    double requests(TimePoint now) const;

    /** Prompt and answer tokens believed to be there, if other nodes' requests are as large as this node's. */
    double tokens(TimePoint now) const;

    std::uint32_t own() const { return own_; }

    /** True while recent failures speak against the upstream. */
    bool suspect(TimePoint now) const { return now < suspectUntil_; }

    /** Share of attempts that failed lately, 0 to 1. */
    double failureShare() const { return failureShare_; }

    /** True shortly after the upstream said that it had no room. */
    bool full(TimePoint now) const { return now < fullUntil_; }

private:
    std::uint32_t own_ = 0;
    std::uint64_t ownTokens_ = 0;
    /** Smoothed tokens of one request. */
    double meanTokens_ = 0.0;
    /** Requests of other nodes when the upstream last stated its load. */
    double others_ = 0.0;
    TimePoint statedAt_;
    double failureShare_ = 0.0;
    std::uint32_t failuresInRow_ = 0;
    TimePoint suspectUntil_;
    TimePoint fullUntil_;
};

} // namespace GeraniumLever
