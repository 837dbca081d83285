/** Decides the claims of this node's callers: registration, row reads, queries to other holders, replays. */
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
 * Decides each call by its row. A call first registers: it writes its request's identifier into the row, unless the row
 * shows a run. From then on, no request that registered earlier can claim the row. "Not run" then holds for the key and
 * not only for this request, even if an earlier request is still waiting at some node. Before the registration has
 * succeeded, the outcome of a refusal is unknown.
 */
class ClaimResolver
{
public:
    ClaimResolver(NodeName self, Incarnation incarnation, OperationCounter &operations, ClaimWriter &writer);

    void lookUp(const ClaimRequest &request, TimePoint now, Commands &commands);
    void claim(const RequestId &request, const AttemptId &attempt, TimePoint now, Commands &commands);
    void requestStatus(const ClaimRequest &request, TimePoint now, Commands &commands);

    /** Returns the call, or nullptr if there is none. */
    const ClaimCall *find(const RequestId &request) const { return calls_.find(request); }

    /** Removes a call that is complete or abandoned. */
    void removeCall(RequestId request);

    /** Returns false if the operation was not issued for a call. */
    bool storeResultReceived(const StoreResult &result, TimePoint now, Commands &commands);

    void claimReplyReceived(const NodeName &from, const ClaimReply &reply, TimePoint now, Commands &commands);
    void nodeLost(const NodeName &node, Commands &commands);
    void tick(TimePoint now, Commands &commands);

    /** Processes the results of the claim writer's insertions. */
    void takeInsertResults(TimePoint now, Commands &commands);

    std::vector<ClaimNotice> takeNotices();
    std::vector<ClaimStatus> takeStatuses();

private:
    void startCall(ClaimCall call, Commands &commands);
    void registerCall(ClaimCall &call, const TableCondition &condition, Commands &commands);
    void registrationAnswered(const RequestId &request, const StoreResult &result, Commands &commands);
    void readRow(ClaimCall &call, Commands &commands);
    void decideByLocalClaim(const ClaimCall &call, const LocalClaim &claim, Commands &commands);
    void decideByRow(const RequestId &request, const TableRow *row, TimePoint now, Commands &commands);
    void decideReleased(ClaimCall &call, TimePoint now, Commands &commands);
    void decideClaimed(ClaimCall &call, TimePoint now, Commands &commands);
    void decideByStanding(const RequestId &request, ClaimStanding standing, TimePoint now, Commands &commands);
    void rowRead(const RequestId &request, const StoreResult &result, TimePoint now, Commands &commands);
    void bodyRead(const RequestId &request, const StoreResult &result, Commands &commands);
    void handleTimeout(const RequestId &request, TimePoint now, Commands &commands);
    void insertEnded(const InsertResult &result, TimePoint now, Commands &commands);
    void replay(ClaimCall &call, Commands &commands);
    void setTimeout(ClaimCall &call, TimePoint timeout);

    /** Continues a call whose row no other call has claimed: answers a status query, registers a look-up, or inserts
     *  the claim. The condition holds as long as the row is unchanged. */
    void proceedUnclaimed(ClaimCall &call, const TableCondition &condition, TimePoint now, Commands &commands);

    /** Queues the resolution for takeNotices() or takeStatuses(), and removes the call. */
    void finishCall(const ClaimCall &call, ClaimResolution resolution, Commands &commands);
    void logDecision(const ClaimCall &call, std::string_view result, Commands &commands) const;
    ClaimRow makeRow(const ClaimCall &call) const;

    NodeName self_;
    Incarnation incarnation_;
    OperationCounter &operations_;
    ClaimWriter &writer_;
    Table<RequestId, ClaimCall> calls_;
    Table<OperationId, RequestId> requestByOperation_;
    /** Calls in the stage Querying. */
    std::set<RequestId> queryingRequests_;
    std::multimap<TimePoint, RequestId> timeouts_;
    std::vector<ClaimNotice> notices_;
    std::vector<ClaimStatus> statuses_;
};

} // namespace GeraniumLever
