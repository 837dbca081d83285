#include "servers/claims/claim_system.h"

#include "servers/claims/claim_resolver.h"
#include "servers/claims/claim_writer.h"

namespace GeraniumLever {

struct ClaimSystem::State
{
    State(NodeName self, Incarnation incarnation, OperationCounter &operations)
        : writer(operations), calls(std::move(self), incarnation, operations, writer)
    {
    }

    /** The attempt that a call has claimed; nullptr if it has not come that far. */
    const AttemptId *attemptOf(const RequestId &request) const
    {
        const ClaimCall *call = calls.find(request);
        return call == nullptr || call->stage != ClaimCall::Stage::Owner ? nullptr : &call->attempt;
    }

    ClaimWriter writer;
    ClaimCalls calls;
};

ClaimSystem::ClaimSystem(NodeName self, Incarnation incarnation, OperationCounter &operations)
    : state_(std::make_unique<State>(std::move(self), incarnation, operations))
{
}

ClaimSystem::~ClaimSystem() = default;

void ClaimSystem::lookUp(const ClaimRequest &request, TimePoint now, Commands &commands)
{
    state_->calls.lookUp(request, now, commands);
}

void ClaimSystem::claim(const RequestId &request, const AttemptId &attempt, TimePoint now, Commands &commands)
{
    state_->calls.claim(request, attempt, now, commands);
}

bool ClaimSystem::startDispatch(const RequestId &request, TimePoint now, Commands &commands)
{
    const AttemptId *attempt = state_->attemptOf(request);
    if (attempt == nullptr || state_->writer.isDispatched(*attempt)) {
        return false;
    }
    // After a pause of the process the deadline may have passed since the claim was found to be held.
    const bool inTime = now < state_->calls.find(request)->request.deadline;
    if (inTime && state_->writer.dispatch(*attempt)) {
        return true;
    }
    abandoned(request, now, commands);
    return false;
}

void ClaimSystem::recordAnswer(const RequestId &request,
                               const RecordedAnswer &answer,
                               TimePoint now,
                               Commands &commands)
{
    const AttemptId *attempt = state_->attemptOf(request);
    if (attempt == nullptr || !state_->writer.isDispatched(*attempt)) {
        return;
    }
    state_->writer.finish(*attempt, answer, now, commands);
    state_->calls.forget(request);
}

void ClaimSystem::outcomeUnknown(const RequestId &request, TimePoint now, Commands & /*commands*/)
{
    const AttemptId *attempt = state_->attemptOf(request);
    if (attempt == nullptr || !state_->writer.isDispatched(*attempt)) {
        return;
    }
    state_->writer.markUnknown(*attempt, now);
    state_->calls.forget(request);
}

void ClaimSystem::abandoned(const RequestId &request, TimePoint now, Commands & /*commands*/)
{
    const AttemptId *attempt = state_->attemptOf(request);
    if (attempt != nullptr) {
        state_->writer.abandon(*attempt, now);
    }
    state_->calls.forget(request);
}

void ClaimSystem::requestStatus(
    const RequestId &request, const TeamName &team, const std::string &key, TimePoint now, Commands &commands)
{
    ClaimRequest question;
    question.request = request;
    question.team = team;
    question.idempotencyKey = key;
    state_->calls.requestStatus(question, now, commands);
}

bool ClaimSystem::storeResultReceived(const StoreResult &result, TimePoint now, Commands &commands)
{
    if (state_->writer.storeResultReceived(result, now, commands)) {
        state_->calls.takeInsertResults(now, commands);
        return true;
    }
    return state_->calls.storeResultReceived(result, now, commands);
}

void ClaimSystem::claimQueryReceived(const NodeName &from, const ClaimQuery &query, Commands &commands)
{
    const ClaimStanding standing = state_->writer.standingOf(query.attempt);
    commands.emplace_back(PeerSend { from, ClaimReply { query.claimKey, query.attempt, standing } });
}

void ClaimSystem::claimReplyReceived(const NodeName &from, const ClaimReply &reply, TimePoint now, Commands &commands)
{
    state_->calls.claimReplyReceived(from, reply, now, commands);
}

void ClaimSystem::nodeLost(const NodeName &node, TimePoint /*now*/, Commands &commands)
{
    state_->calls.nodeLost(node, commands);
}

void ClaimSystem::tick(TimePoint now, Commands &commands)
{
    state_->calls.tick(now, commands);
    state_->writer.tick(now, commands);
}

std::vector<ClaimNotice> ClaimSystem::takeNotices()
{
    return state_->calls.takeNotices();
}

std::vector<ClaimStatus> ClaimSystem::takeStatuses()
{
    return state_->calls.takeStatuses();
}

std::size_t ClaimSystem::unfinished() const
{
    return state_->writer.unfinished();
}

} // namespace GeraniumLever
