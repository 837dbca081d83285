/** Answers whose end does not tell whether they are complete. */
#pragma once

#include <functional>
#include <vector>

#include "servers/relay/relay_messages.h"
#include "servers/routing/routing.h"

namespace GeraniumLever {

/** An answer that ended with its connection. */
struct UnconfirmedAnswer
{
    UpstreamIdentity upstream;
    PromptInfo prompt;
    /** When the request was sent. */
    TimePoint sentAt;
    TimePoint endedAt;

    auto operator<=>(const UnconfirmedAnswer &) const = default;
};

/**
 * Holds answers that ended with their connection until it is known whether their upstream lived on. A crash ends such
 * an answer in the same way, but an upstream that has crashed accepts no connection for a while, and its next
 * incarnation registers anew. The first response or connection soon after the end confirms the answer. An upstream is
 * probed if it matters for the answer's prompt, or if something else has failed there.
 */
class UnconfirmedAnswers
{
public:
    void add(const UnconfirmedAnswer &answer);

    /** The connections to open now, one for each upstream whose answers have waited long enough. */
    std::vector<RelayProbe> startDueProbes(const std::function<bool(const PromptInfo &)> &matters, TimePoint now);

    /** Removes, and returns, the answers that a probe was for. */
    std::vector<UnconfirmedAnswer> takeProbed(const UpstreamName &upstream);

    /** Removes, and returns, the answers that are confirmed by a response to a request that was sent at sentAt. */
    std::vector<UnconfirmedAnswer> takeConfirmed(const UpstreamIdentity &upstream, TimePoint sentAt, TimePoint now);

    /** Removes, and returns, the answers of an upstream that has ended since. */
    std::vector<UnconfirmedAnswer> takeEnded(const UpstreamIdentity &upstream);

    /** Something has failed at the upstream, so that answers which ended just before may have been broken off. */
    void noteFailure(const UpstreamIdentity &upstream, TimePoint now);

    /** Forgets answers about which nothing more can become known. */
    void expire(TimePoint now);

    std::size_t size() const { return pending_.size(); }

    /** The oldest answers give way to further ones. */
    static constexpr std::size_t MaxPending = 256;

private:
    struct Pending
    {
        UnconfirmedAnswer answer;
        bool probing = false;
        /** True if something else has failed at the upstream. */
        bool doubted = false;
    };

    template<typename Condition>
    std::vector<UnconfirmedAnswer> take(Condition condition);

    std::vector<Pending> pending_;
};

} // namespace GeraniumLever
