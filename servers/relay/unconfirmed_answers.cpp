#include "servers/relay/unconfirmed_answers.h"

#include <algorithm>

namespace GeraniumLever {

namespace {

/** Leaves the system of an upstream that has crashed time to refuse connections. */
constexpr Duration ProbeDelay = std::chrono::milliseconds(250);
/** An upstream that answers later may have crashed and started again meanwhile. */
constexpr Duration ConfirmationTime = std::chrono::seconds(1);
/** Within this time the registry shows that an upstream has ended. */
constexpr Duration MaxAge = std::chrono::seconds(10);

} // namespace

void UnconfirmedAnswers::add(const UnconfirmedAnswer &answer)
{
    if (pending_.size() >= MaxPending) {
        pending_.erase(pending_.begin());
    }
    pending_.push_back({ answer });
}

std::vector<RelayProbe> UnconfirmedAnswers::startDueProbes(const std::function<bool(const PromptInfo &)> &matters,
                                                           TimePoint now)
{
    std::vector<RelayProbe> probes;
    for (Pending &pending : pending_) {
        const Duration age = now - pending.answer.endedAt;
        const bool isDue = !pending.probing && age >= ProbeDelay && age < ConfirmationTime;
        if (!isDue || (!pending.doubted && !matters(pending.answer.prompt))) {
            continue;
        }
        pending.probing = true;
        const RelayProbe probe { pending.answer.upstream.name, pending.answer.upstream.address };
        if (std::find(probes.begin(), probes.end(), probe) == probes.end()) {
            probes.push_back(probe);
        }
    }
    return probes;
}

template<typename Condition>
std::vector<UnconfirmedAnswer> UnconfirmedAnswers::take(Condition condition)
{
    std::vector<UnconfirmedAnswer> taken;
    std::erase_if(pending_, [&](const Pending &pending) {
        if (!condition(pending)) {
            return false;
        }
        taken.push_back(pending.answer);
        return true;
    });
    return taken;
}

std::vector<UnconfirmedAnswer> UnconfirmedAnswers::takeProbed(const UpstreamName &upstream)
{
    return take(
        [&upstream](const Pending &pending) { return pending.probing && pending.answer.upstream.name == upstream; });
}

std::vector<UnconfirmedAnswer> UnconfirmedAnswers::takeConfirmed(const UpstreamIdentity &upstream,
                                                                 TimePoint sentAt,
                                                                 TimePoint now)
{
    return take([&](const Pending &pending) {
        const UnconfirmedAnswer &answer = pending.answer;
        const bool isSoonEnough = answer.endedAt <= sentAt && now - answer.endedAt < ConfirmationTime;
        return isSoonEnough && !pending.doubted && answer.upstream == upstream;
    });
}

std::vector<UnconfirmedAnswer> UnconfirmedAnswers::takeEnded(const UpstreamIdentity &upstream)
{
    return take([&upstream](const Pending &pending) { return pending.answer.upstream == upstream; });
}

void UnconfirmedAnswers::noteFailure(const UpstreamIdentity &upstream, TimePoint now)
{
    for (Pending &pending : pending_) {
        const bool isRecent = now - pending.answer.endedAt < ConfirmationTime;
        pending.doubted = pending.doubted || (isRecent && pending.answer.upstream == upstream);
    }
}

void UnconfirmedAnswers::expire(TimePoint now)
{
    std::erase_if(pending_, [now](const Pending &pending) { return now - pending.answer.endedAt > MaxAge; });
}

} // namespace GeraniumLever
