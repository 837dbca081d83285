/** Claims of non-idempotent calls in the table service. */
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
    /** Digest of method, target and body; a repeat must have the same. */
    std::uint64_t bodyDigest = 0;
    TimePoint deadline;

    auto operator<=>(const ClaimRequest &) const = default;
};

/** The answer of an upstream, kept for repeats. */
struct RecordedAnswer
{
    unsigned status = 0;
    std::string contentType;
    std::string body;

    auto operator<=>(const RecordedAnswer &) const = default;
};

/** No claim exists for the key; the call may look for a seat. */
struct ClaimAbsent
{
    RequestId request;
    /** A time before the row was found without a run. Long ago if the process was paused in between. */
    TimePoint asOf {};

    auto operator<=>(const ClaimAbsent &) const = default;
};

/** The claim is this request's; the call may be dispatched once under this attempt. */
struct ClaimHeld
{
    RequestId request;
    AttemptId attempt;

    auto operator<=>(const ClaimHeld &) const = default;
};

/** The key has been answered before. */
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

/** What a caller may ask about its key with GET /v1/requests/KEY. */
struct ClaimStatus
{
    RequestId request;
    /** Absent if the key has no claim or its call is still running. */
    std::optional<Outcome> outcome;
    bool running = false;
    std::optional<RecordedAnswer> answer;
    /** Set if the table service could not be asked. */
    std::optional<Error> error;

    bool operator==(const ClaimStatus &) const = default;
};

/** Runs the claims of one node. Store requests and peer queries are appended to the given commands; what was decided is
 *  collected and taken with takeNotices(). */
class ClaimSystem
{
public:
    ClaimSystem(NodeName self, Incarnation incarnation, OperationCounter &operations);
    ~ClaimSystem();

    /** Looks the key up. Ends in ClaimAbsent, ClaimReplay or ClaimRefused. */
    void lookUp(const ClaimRequest &request, TimePoint now, Commands &commands);

    /** Inserts the claim, after a seat was granted and before the first byte is sent. Requires an earlier lookUp of the
     *  request. Ends in ClaimHeld, ClaimReplay or ClaimRefused. */
    void claim(const RequestId &request, const AttemptId &attempt, TimePoint now, Commands &commands);

    /** To be asked in the same step that dispatches. True exactly once per held claim, and only if it was not abandoned
     *  and its deadline has not passed on the clock; false marks the claim abandoned, so that "not run" is true. */
    bool startDispatch(const RequestId &request, TimePoint now, Commands &commands);

    /** The upstream's whole answer: recorded in the claim, large bodies in the object store. */
    void recordAnswer(const RequestId &request, const RecordedAnswer &answer, TimePoint now, Commands &commands);

    /** Dispatched, but nobody knows whether it ran; recorded so that no repeat runs it again. */
    void outcomeUnknown(const RequestId &request, TimePoint now, Commands &commands);

    /** No byte was sent and none will be; must be called before the caller is told "not run". Releases the row. */
    void abandoned(const RequestId &request, TimePoint now, Commands &commands);

    /** Looks up what became of a key. The result is taken with takeStatuses(). */
    void requestStatus(
        const RequestId &request, const TeamName &team, const std::string &key, TimePoint now, Commands &commands);

    /** False if the operation is not one of this system's. */
    bool storeResultReceived(const StoreResult &result, TimePoint now, Commands &commands);

    void claimQueryReceived(const NodeName &from, const ClaimQuery &query, Commands &commands);
    void claimReplyReceived(const NodeName &from, const ClaimReply &reply, TimePoint now, Commands &commands);

    /** A peer cannot be reached. */
    void nodeLost(const NodeName &node, TimePoint now, Commands &commands);

    /** Sends due batches, settles ambiguous writes, gives up on late ones. */
    void tick(TimePoint now, Commands &commands);

    /** Everything decided since the last call. */
    std::vector<ClaimNotice> takeNotices();
    std::vector<ClaimStatus> takeStatuses();

    /** Claims whose call is running or whose result is not yet recorded. A node that stops waits until this is 0. */
    std::size_t unfinished() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace GeraniumLever
