#include "servers/ingress/request_forwarder.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "servers/ingress/dispatch_builder.h"
#include "servers/ingress/forward_target.h"
#include "servers/ingress/request_reports.h"
#include "servers/ingress/seat_messages.h"

namespace GeraniumLever {

RequestForwarder::RequestForwarder(std::uint64_t origin,
                                   std::string meshKey,
                                   RequestTable &requests,
                                   ClaimSystem &claims,
                                   const MembershipSystem &membership)
    : origin_(origin), meshKey_(std::move(meshKey)), requests_(requests), claims_(claims), membership_(membership)
{
}

bool RequestForwarder::forward(RequestRow &row, Duration timeLeft, TimePoint now, Commands &commands)
{
    const bool isIdempotent = row.requestClass.idempotent || !row.begun;
    if (row.call.forwarded || row.spillTried || !isIdempotent || timeLeft <= Duration(0)) {
        return false;
    }
    const std::uint64_t spread = row.call.request.sequence();
    const std::optional<NodeAddress> node =
        chooseSpillTarget(membership_, row.pool, row.requestClass.tier, timeLeft, spread);
    if (!node) {
        return false;
    }
    if (!row.requestClass.idempotent) {
        // The other node makes the claim; this one has only looked the key up.
        claims_.abandoned(row.call.request, now, commands);
    }
    row.spillTried = true;
    row.begunBeforeForward = row.begun;
    row.begun = true;
    row.phase = RequestPhase::Forwarded;
    row.head = UpstreamHead {};
    row.body.clear();
    row.answer.beginContinuation();
    RunningAttempt attempt;
    attempt.attempt = AttemptId(~origin_, ++lastAttempt_);
    attempt.dispatchedAt = now;
    attempt.progressDueAt = TimePoint::max();
    requests_.setAttempt(row, std::move(attempt));
    Decision decision = decide("forward", row);
    addField(decision, "node", node->node.text());
    addField(decision, "data_center", node->dataCenter.text());
    commands.emplace_back(std::move(decision));
    commands.emplace_back(makeForward(row, *node, meshKey_, row.deadline - now));
    return true;
}

void RequestForwarder::forwardIfQueueIsSlow(RequestRow &row, TimePoint now, Commands &commands)
{
    const Duration target = row.requestClass.firstTokenTarget;
    if (now - row.waitingSince < target) {
        return;
    }
    PeerSend cancel = makeCancel(row);
    row.waitingSince = now;
    if (forward(row, std::min(target, row.deadline - now), now, commands)) {
        commands.emplace_back(std::move(cancel));
    }
}

} // namespace GeraniumLever
