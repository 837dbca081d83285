/** The request state machine of one node. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"
#include "servers/claims/claims.h"
#include "servers/ingress/request_finisher.h"
#include "servers/ingress/request_forwarder.h"
#include "servers/ingress/request_table.h"
#include "servers/ingress/seat_client.h"
#include "servers/membership/membership.h"

namespace GeraniumLever {

/** Takes callers' requests through authentication, claims, seats, upstreams and answers. Every request that was
 * accepted gets exactly one final answer. Appends its commands to the given list. */
class IngressSystem
{
public:
    /** origin: this node's origin hash, for attempts at other nodes. claims and membership outlive this object. */
    IngressSystem(std::uint64_t origin, std::string meshKey, ClaimSystem &claims, const MembershipSystem &membership);

    void applyCatalog(CatalogPtr catalog);

    void callerRequested(const CallerRequest &call, TimePoint now, Commands &commands);

    /** Cancels idempotent work. A call that must not repeat goes on, so that its outcome is recorded. */
    void callerGone(const CallerGone &event, TimePoint now, Commands &commands);

    void callerBacklogged(const CallerBacklog &event, Commands &commands);

    void slotGranted(const NodeName &from, const SlotGrant &grant, TimePoint now, Commands &commands);
    void slotRefused(const NodeName &from, const SlotRefusal &refusal, TimePoint now, Commands &commands);
    void attemptPaused(const AttemptPause &pause, TimePoint now, Commands &commands);

    void upstreamHead(const UpstreamHead &head, TimePoint now, Commands &commands);
    void upstreamData(const UpstreamData &data, TimePoint now, Commands &commands);
    void upstreamEnded(const UpstreamEnd &end, TimePoint now, Commands &commands);
    void upstreamFailed(const UpstreamFailure &failure, TimePoint now, Commands &commands);
    void probed(const ProbeResult &result, TimePoint now, Commands &commands);

    void claimNoticeReceived(const ClaimNotice &notice, TimePoint now, Commands &commands);
    void claimStatusReceived(const ClaimStatus &status, TimePoint now, Commands &commands)
    {
        finisher_.claimStatusReceived(status, now, commands);
    }

    /** Asks the schedulers of the present view for the seats that are still wanted, and registers running attempts with
     *  them. To be called after each change of the membership view. */
    void schedulersChanged(const std::vector<NodeName> &lost, TimePoint now, Commands &commands);

    /** Reports progress and gives up on requests whose time has come. */
    void tick(TimePoint now, Commands &commands);

    /** The upstream that an attempt under way was sent to. */
    std::optional<UpstreamName> upstreamOf(const AttemptId &attempt) const;

    /** Requests without a final answer. */
    std::size_t inFlight() const { return requests_.size(); }

private:
    void askForSeat(RequestRow &row, TimePoint now, Commands &commands);
    void dispatch(RequestRow &row, TimePoint now, Commands &commands);
    void retry(RequestRow &row, const Error &cause, TimePoint now, Commands &commands);
    /** upstreamWell: true if only the connection was lost, so that the same upstream may be asked again. */
    void attemptLost(RequestRow &row, const Error &cause, TimePoint now, Commands &commands, bool upstreamWell = false);
    void takeCompletionEvent(RequestRow &row, const std::string &data, TimePoint now, Commands &commands);
    void noteFirstToken(RequestRow &row, TimePoint now, Commands &commands);

    void takeNotice(const ClaimAbsent &notice, TimePoint now, Commands &commands);
    void takeNotice(const ClaimHeld &notice, TimePoint now, Commands &commands);
    void takeNotice(const ClaimReplay &notice, TimePoint now, Commands &commands);
    void takeNotice(const ClaimRefused &notice, TimePoint now, Commands &commands);

    ClaimSystem &claims_;
    RequestTable requests_;
    SeatClient seats_;
    RequestFinisher finisher_;
    RequestForwarder forwarder_;
    CatalogPtr catalog_;
};

} // namespace GeraniumLever
