/** The calls of this node's callers on their way to a claim: row reads, queries to other holders, replays. */
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/core.h"
#include "servers/claims/claim_call.h"
#include "servers/claims/claim_resolution.h"
#include "servers/claims/claim_writer.h"

namespace GeraniumLever {

/**
 * Decides each call by its row. A call first registers: it writes its name into the row, unless the row shows a run.
 * From then on no request that registered before it can be claimed, so that "not run" is true of the key and not only
 * of this request, also if an earlier one still waits somewhere. Before, a refusal's outcome is unknown.
 */
class ClaimCalls
{
public:
    ClaimCalls(NodeName self, Incarnation incarnation, OperationCounter &operations, ClaimWriter &writer);

    void lookUp(const ClaimRequest &request, TimePoint now, Commands &commands);
    void claim(const RequestId &request, const AttemptId &attempt, TimePoint now, Commands &commands);
    void requestStatus(const ClaimRequest &request, TimePoint now, Commands &commands);

    /** The call, or nullptr. */
    const ClaimCall *find(const RequestId &request) const { return calls_.find(request); }

    /** Drops a call that has left this class's care. */
    void forget(RequestId request);

    /** False if the operation is not one of a call. */
    bool storeResultReceived(const StoreResult &result, TimePoint now, Commands &commands);

    void claimReplyReceived(const NodeName &from, const ClaimReply &reply, TimePoint now, Commands &commands);
    void nodeLost(const NodeName &node, Commands &commands);
    void tick(TimePoint now, Commands &commands);

    /** Takes over what the claim writer has found out about insertions. */
    void takeInsertResults(TimePoint now, Commands &commands);

    std::vector<ClaimNotice> takeNotices();
    std::vector<ClaimStatus> takeStatuses();

private:
    void begin(ClaimCall call, Commands &commands);
    void registerCall(ClaimCall &call, const TableCondition &condition, Commands &commands);
    void registrationAnswered(const RequestId &request, const StoreResult &result, Commands &commands);
    void readRow(ClaimCall &call, Commands &commands);
    void decideLocally(const ClaimCall &call, const OwnClaim &claim, Commands &commands);
    void decide(const RequestId &request, const TableRow *row, TimePoint now, Commands &commands);
    void decideReleased(ClaimCall &call, TimePoint now, Commands &commands);
    void decideClaimed(ClaimCall &call, TimePoint now, Commands &commands);
    void decideStanding(const RequestId &request, ClaimStanding standing, TimePoint now, Commands &commands);
    void rowRead(const RequestId &request, const StoreResult &result, TimePoint now, Commands &commands);
    void bodyRead(const RequestId &request, const StoreResult &result, Commands &commands);
    void giveUp(const RequestId &request, TimePoint now, Commands &commands);
    void insertEnded(const InsertResult &result, TimePoint now, Commands &commands);
    void replay(ClaimCall &call, Commands &commands);
    void wait(ClaimCall &call, TimePoint timeout);

    /** The row may be claimed under the condition, for all that other calls have done. */
    void claimable(ClaimCall &call, const TableCondition &condition, TimePoint now, Commands &commands);

    /** Hands the end over and forgets the call. */
    void end(const ClaimCall &call, ClaimEnd end, Commands &commands);
    void log(const ClaimCall &call, std::string_view result, Commands &commands) const;
    ClaimRow rowFor(const ClaimCall &call) const;

    NodeName self_;
    Incarnation incarnation_;
    OperationCounter &operations_;
    ClaimWriter &writer_;
    Table<RequestId, ClaimCall> calls_;
    Table<OperationId, RequestId> reads_;
    /** Calls in the stage Querying. */
    std::set<RequestId> querying_;
    std::multimap<TimePoint, RequestId> timeouts_;
    std::vector<ClaimNotice> notices_;
    std::vector<ClaimStatus> statuses_;
};

} // namespace GeraniumLever
