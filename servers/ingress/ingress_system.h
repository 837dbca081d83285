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

/** Handles callers' requests: authentication, claims, seats, dispatch to upstreams and answers. Every accepted request
 * gets exactly one final answer. Appends its commands to the given list. */
class IngressSystem
{
public:
    /** `origin` is this node's origin hash, used for attempts at other nodes. `claims` and `membership` must outlive
     * this object. */
    IngressSystem(std::uint64_t origin, std::string meshKey, ClaimSystem &claims, const MembershipSystem &membership);

    void applyCatalog(CatalogPtr catalog);

    void callerRequested(const CallerRequest &call, TimePoint now, Commands &commands);

    /** Cancels idempotent work. A non-idempotent call continues, so that its outcome is recorded. */
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

    /** Requests the seats that are still needed from the schedulers of the current membership view, and registers
     *  running attempts with them. To be called after each change of the view. */
    void schedulersChanged(const std::vector<NodeName> &lost, TimePoint now, Commands &commands);

    /** Reports progress, and ends requests that got no seat by their deadline. */
    void tick(TimePoint now, Commands &commands);

    /** The upstream that a running attempt was sent to. */
    std::optional<UpstreamName> upstreamOf(const AttemptId &attempt) const;

    /** Requests without a final answer. */
    std::size_t inFlight() const { return requests_.size(); }

private:
    void requestSeat(RequestRow &row, TimePoint now, Commands &commands);
    void dispatch(RequestRow &row, TimePoint now, Commands &commands);
    void retry(RequestRow &row, const Error &cause, TimePoint now, Commands &commands);
    void attemptLost(RequestRow &row, const Error &cause, TimePoint now, Commands &commands);
    void attemptSilent(RequestRow &row, TimePoint now, Commands &commands);
    /** Requests a seat that replaces a silent attempt; the attempt goes on until the seat is granted. The same upstream
     *  may be used again if it is healthy. */
    void replaceSilentAttempt(RequestRow &row, bool isUpstreamHealthy, TimePoint now, Commands &commands);
    /** Gives up the replacement of a silent attempt. */
    void keepSilentAttempt(RequestRow &row, TimePoint now, Commands &commands);
    /** To be called whenever an attempt's upstream has sent something. */
    void endSilence(RequestRow &row, TimePoint now, Commands &commands);
    void handleCompletionEvent(RequestRow &row, const std::string &data, TimePoint now, Commands &commands);
    void recordFirstToken(RequestRow &row, TimePoint now, Commands &commands);

    void handleNotice(const ClaimAbsent &notice, TimePoint now, Commands &commands);
    void handleNotice(const ClaimHeld &notice, TimePoint now, Commands &commands);
    void handleNotice(const ClaimReplay &notice, TimePoint now, Commands &commands);
    void handleNotice(const ClaimRefused &notice, TimePoint now, Commands &commands);

    ClaimSystem &claims_;
    RequestTable requests_;
    SeatClient seats_;
    RequestFinisher finisher_;
    RequestForwarder forwarder_;
    CatalogPtr catalog_;
};

} // namespace GeraniumLever
