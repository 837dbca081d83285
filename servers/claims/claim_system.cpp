#include "servers/claims/claim_system.h"

#include "servers/claims/claim_resolver.h"
#include "servers/claims/claim_writer.h"

namespace GeraniumLever {

struct ClaimSystem::State
{
    State(NodeName self, Incarnation incarnation, OperationCounter &operations)
        : writer(operations), resolver(std::move(self), incarnation, operations, writer)
    {
    }

    /** The attempt under which a call was handed to the claim writer; nullptr if it was not handed over yet. */
    const AttemptId *attemptOf(const RequestId &request) const
    {
        const ClaimCall *call = resolver.find(request);
        return call == nullptr || call->stage != ClaimCall::Stage::HandedToWriter ? nullptr : &call->attempt;
    }

    ClaimWriter writer;
    ClaimResolver resolver;
};

ClaimSystem::ClaimSystem(NodeName self, Incarnation incarnation, OperationCounter &operations)
    : state_(std::make_unique<State>(std::move(self), incarnation, operations))
{
}

ClaimSystem::~ClaimSystem() = default;

void ClaimSystem::lookUp(const ClaimRequest &request, TimePoint now, Commands &commands)
{
    state_->resolver.lookUp(request, now, commands);
}

void ClaimSystem::claim(const RequestId &request, const AttemptId &attempt, TimePoint now, Commands &commands)
{
    state_->resolver.claim(request, attempt, now, commands);
}

bool ClaimSystem::startDispatch(const RequestId &request, TimePoint now, Commands &commands)
{
    const AttemptId *attempt = state_->attemptOf(request);
    if (attempt == nullptr || state_->writer.isDispatched(*attempt)) {
        return false;
    }
    // If the process was paused, the deadline may have passed since the claim was found to be held.
    const bool beforeDeadline = now < state_->resolver.find(request)->request.deadline;
    if (beforeDeadline && state_->writer.markDispatched(*attempt)) {
        return true;
    }
    abandon(request, now, commands);
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
    state_->writer.writeAnswer(*attempt, answer, now, commands);
    state_->resolver.removeCall(request);
}

void ClaimSystem::recordUnknownOutcome(const RequestId &request, TimePoint now, Commands & /*commands*/)
{
    const AttemptId *attempt = state_->attemptOf(request);
    if (attempt == nullptr || !state_->writer.isDispatched(*attempt)) {
        return;
    }
    state_->writer.recordUnknownOutcome(*attempt, now);
    state_->resolver.removeCall(request);
}

void ClaimSystem::abandon(const RequestId &request, TimePoint now, Commands & /*commands*/)
{
    const AttemptId *attempt = state_->attemptOf(request);
    if (attempt != nullptr) {
        state_->writer.abandon(*attempt, now);
    }
    state_->resolver.removeCall(request);
}

void ClaimSystem::requestStatus(
    const RequestId &request, const TeamName &team, const std::string &key, TimePoint now, Commands &commands)
{
    ClaimRequest query;
    query.request = request;
    query.team = team;
    query.idempotencyKey = key;
    state_->resolver.requestStatus(query, now, commands);
}

bool ClaimSystem::storeResultReceived(const StoreResult &result, TimePoint now, Commands &commands)
{
    if (state_->writer.storeResultReceived(result, now, commands)) {
        state_->resolver.takeInsertResults(now, commands);
        return true;
    }
    return state_->resolver.storeResultReceived(result, now, commands);
}

void ClaimSystem::claimQueryReceived(const NodeName &from, const ClaimQuery &query, Commands &commands)
{
    const ClaimStanding standing = state_->writer.standingOf(query.attempt);
    commands.emplace_back(PeerSend { from, ClaimReply { query.claimKey, query.attempt, standing } });
}

void ClaimSystem::claimReplyReceived(const NodeName &from, const ClaimReply &reply, TimePoint now, Commands &commands)
{
    state_->resolver.claimReplyReceived(from, reply, now, commands);
}

void ClaimSystem::nodeLost(const NodeName &node, TimePoint /*now*/, Commands &commands)
{
    state_->resolver.nodeLost(node, commands);
}

void ClaimSystem::tick(TimePoint now, Commands &commands)
{
    state_->resolver.tick(now, commands);
    state_->writer.tick(now, commands);
}

std::vector<ClaimNotice> ClaimSystem::takeNotices()
{
    return state_->resolver.takeNotices();
}

std::vector<ClaimStatus> ClaimSystem::takeStatuses()
{
    return state_->resolver.takeStatuses();
}

std::size_t ClaimSystem::unfinished() const
{
    return state_->writer.unfinished();
}

} // namespace GeraniumLever
