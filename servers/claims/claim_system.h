/** Claims in the table service for non-idempotent calls. */
#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "core/core.h"

namespace GeraniumLever {

/** A call that must run at most once per team and idempotency key. */
struct ClaimRequest
{
    RequestId request;
    TeamName team;
    std::string idempotencyKey;
    /** Digest of method, target and body; a repeated request must have the same digest. */
    std::uint64_t bodyDigest = 0;
    TimePoint deadline;

    auto operator<=>(const ClaimRequest &) const = default;
};

/** An upstream's answer, stored to be replayed to repeated requests. */
struct RecordedAnswer
{
    unsigned status = 0;
    std::string contentType;
    std::string body;

    auto operator<=>(const RecordedAnswer &) const = default;
};

/** No claim exists for the key; a seat may be requested for the call. */
struct ClaimAbsent
{
    RequestId request;
    /** Start of the look-up: the row was found to show no run at this time or later. Far in the past if the process was
     *  paused in between. */
    TimePoint asOf {};

    auto operator<=>(const ClaimAbsent &) const = default;
};

/** This request holds the claim; the call may be dispatched once, under this attempt. */
struct ClaimHeld
{
    RequestId request;
    AttemptId attempt;

    auto operator<=>(const ClaimHeld &) const = default;
};

/** An earlier call under the key was answered. */
struct ClaimReplay
{
    RequestId request;
    RecordedAnswer answer;

    auto operator<=>(const ClaimReplay &) const = default;
};

/** The call must not be dispatched. Final. */
struct ClaimRefused
{
    RequestId request;
    Error error;
    Outcome outcome = Outcome::NotRun;

    bool operator==(const ClaimRefused &) const = default;
};

using ClaimNotice = std::variant<ClaimAbsent, ClaimHeld, ClaimReplay, ClaimRefused>;

/** Status of a key, as callers query it with GET /v1/requests/KEY. */
struct ClaimStatus
{
    RequestId request;
    /** Absent if the key has no row in the table service, its call is still running, or `error` is set. */
    std::optional<Outcome> outcome;
    bool running = false;
    std::optional<RecordedAnswer> answer;
    /** Set if the table service or the object store could not be read. */
    std::optional<Error> error;

    bool operator==(const ClaimStatus &) const = default;
};

/** Manages the claims of one node. Appends store requests and peer queries to the given commands. Decisions are
 *  collected until they are fetched with takeNotices(). */
class ClaimSystem
{
public:
    ClaimSystem(NodeName self, Incarnation incarnation, OperationCounter &operations);
    ~ClaimSystem();

    /** Looks the key up. Results in ClaimAbsent, ClaimReplay or ClaimRefused. */
    void lookUp(const ClaimRequest &request, TimePoint now, Commands &commands);

    /** Inserts the claim, after a seat was granted and before the first byte is sent. Requires an earlier lookUp() of
     *  the request. Results in ClaimHeld, ClaimReplay or ClaimRefused. */
    void claim(const RequestId &request, const AttemptId &attempt, TimePoint now, Commands &commands);

    /** To be called in the same step that dispatches. Returns true exactly once per held claim, and only if the claim
     *  was not abandoned and its deadline has not passed at `now`. Otherwise, unless the claim is dispatched already,
     * it is marked abandoned, so that reporting "not run" is correct. */
    bool startDispatch(const RequestId &request, TimePoint now, Commands &commands);

    /** Records the upstream's complete answer in the claim; large bodies go to the object store. */
    void recordAnswer(const RequestId &request, const RecordedAnswer &answer, TimePoint now, Commands &commands);

    /** Records that the call was dispatched and that it is not known whether it ran, so that no repeated request runs
     *  it again. */
    void recordUnknownOutcome(const RequestId &request, TimePoint now, Commands &commands);

    /** Releases the row of a call of which no byte was sent and none will be. Must be called before "not run" is
     *  reported to the caller. */
    void abandon(const RequestId &request, TimePoint now, Commands &commands);

    /** Queries the status of a key. The result is fetched with takeStatuses(). */
    void requestStatus(
        const RequestId &request, const TeamName &team, const std::string &key, TimePoint now, Commands &commands);

    /** Returns false if the operation was not issued by this system. */
    bool storeResultReceived(const StoreResult &result, TimePoint now, Commands &commands);

    void claimQueryReceived(const NodeName &from, const ClaimQuery &query, Commands &commands);
    void claimReplyReceived(const NodeName &from, const ClaimReply &reply, TimePoint now, Commands &commands);

    /** A peer has become unreachable. */
    void nodeLost(const NodeName &node, TimePoint now, Commands &commands);

    /** Sends due batches, retries failed writes and ends calls whose timeout has passed. */
    void tick(TimePoint now, Commands &commands);

    /** These two return everything decided since they were last called. */
    std::vector<ClaimNotice> takeNotices();
    std::vector<ClaimStatus> takeStatuses();

    /** Number of claims whose call is running or whose result is not yet recorded. A stopping node waits until it
     *  is 0. */
    std::size_t unfinished() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace GeraniumLever
