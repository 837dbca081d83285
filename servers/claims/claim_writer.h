/** The claims that this node writes: insertion, result and release of each, batched and settled. */
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "core/core.h"
#include "servers/claims/claim_row.h"

namespace GeraniumLever {

/** A claim that this node has written, or may have written, to the table service. */
struct OwnClaim
{
    enum class Phase : std::uint8_t {
        /** Its insertion is queued or under way. */
        Inserting,
        /** The row is known to hold this attempt; nothing was sent to an upstream. */
        Held,
        Dispatched,
        /** The answer's body is being put into the object store. */
        StoringBody,
        /** The row is being given the result. */
        Recording,
        /** Will never be dispatched; the row is being released. */
        Releasing,
    };

    std::string key;
    ClaimRow row;
    Phase phase = Phase::Inserting;
    /** Holds in the table service exactly as long as the next write may take effect. */
    TableCondition condition;
    /** The whole answer, for repeats at this node. */
    std::optional<RecordedAnswer> answer;
    unsigned insertTries = 0;
    /** Pause before the next write after one that failed; grows with every failure. */
    Duration retryPause { 0 };
    /** True while a request to the store about it is queued or under way. */
    bool busy = false;

    auto operator<=>(const OwnClaim &) const = default;
};

/** The row holds the attempt. */
struct InsertHeld
{
    RequestId request;
    AttemptId attempt;

    auto operator<=>(const InsertHeld &) const = default;
};

/** Somebody else wrote the row first; the insertion never took effect and never will. */
struct InsertLost
{
    RequestId request;
    AttemptId attempt;
    TableRow row;

    auto operator<=>(const InsertLost &) const = default;
};

/** The insertion was given up; the attempt is never dispatched. */
struct InsertFailed
{
    RequestId request;
    AttemptId attempt;

    auto operator<=>(const InsertFailed &) const = default;
};

using InsertResult = std::variant<InsertHeld, InsertLost, InsertFailed>;

/**
 * Owns every attempt from its insertion to the last write about it. A write whose effect is not known is settled by
 * reading the row. If the row shows no effect, the write may still take effect later: then the attempt is abandoned and
 * a release is written under the very condition of the doubtful write, so that at most one of the two takes effect.
 * Until the row is known to have moved on, the attempt stays in the table and is reported as abandoned.
 */
class ClaimWriter
{
public:
    explicit ClaimWriter(OperationCounter &operations);

    /** Queues the insertion of a claim. Ends in one InsertResult, unless it is abandoned before. */
    void insert(const std::string &key, const ClaimRow &row, const TableCondition &condition, TimePoint now);

    /** True if the claim was held; it is dispatched now. */
    bool dispatch(const AttemptId &attempt);

    /** Requires a dispatched attempt; others are ignored. */
    void finish(const AttemptId &attempt, const RecordedAnswer &answer, TimePoint now, Commands &commands);
    void markUnknown(const AttemptId &attempt, TimePoint now);

    /** The attempt will never be dispatched, or no byte of it was sent. Takes effect before the call returns. */
    void abandon(const AttemptId &attempt, TimePoint now);

    ClaimStanding standingOf(const AttemptId &attempt) const;

    /** The claim of this node for a key that is not abandoned; nullptr if there is none. */
    const OwnClaim *activeFor(const std::string &key) const;
    bool isInserting(const AttemptId &attempt) const { return isIn(attempt, OwnClaim::Phase::Inserting); }
    bool isDispatched(const AttemptId &attempt) const { return isIn(attempt, OwnClaim::Phase::Dispatched); }
    bool knows(const AttemptId &attempt) const { return claims_.contains(attempt); }

    /** False if the operation is not one of the writer's. */
    bool storeResultReceived(const StoreResult &result, TimePoint now, Commands &commands);

    /** Sends due batches and repeats failed writes. */
    void tick(TimePoint now, Commands &commands);

    std::vector<InsertResult> takeInsertResults();
    std::size_t unfinished() const { return claims_.size(); }

private:
    /** A write as it was sent; its claim's phase may have changed since. */
    struct SentWrite
    {
        AttemptId attempt;
        OwnClaim::Phase phase = OwnClaim::Phase::Inserting;
    };

    struct Operation
    {
        enum class Kind : std::uint8_t {
            Batch,
            /** Reads the rows of a batch that failed. */
            Settle,
            StoreBody,
        };

        Kind kind = Kind::Batch;
        std::vector<SentWrite> writes;
        /** In Settle: the batch may have taken effect, or may yet. */
        bool ambiguous = false;
    };

    bool isIn(const AttemptId &attempt, OwnClaim::Phase phase) const;
    void enqueue(const AttemptId &attempt, TimePoint now);
    void retryLater(const AttemptId &attempt, TimePoint now);
    void resume(const AttemptId &attempt, TimePoint now, Commands &commands);
    void sendBatch(TimePoint now, Commands &commands);
    void sendBody(const AttemptId &attempt, Commands &commands);
    void erase(const AttemptId &attempt);
    void forgetKey(const OwnClaim &claim);

    void batchAnswered(const Operation &operation, const StoreResult &result, TimePoint now, Commands &commands);
    void bodyStored(const Operation &operation, const StoreResult &result, TimePoint now);
    void rowsRead(const Operation &operation, const StoreResult &result, TimePoint now);
    void settle(const Operation &operation, Commands &commands);

    void writeDone(const SentWrite &write, TimePoint now);
    void writeRefused(const SentWrite &write, TimePoint now);
    void writeInDoubt(const SentWrite &write, TimePoint now);
    void settleByRow(const SentWrite &write, bool ambiguous, const TableRow *row, TimePoint now);
    void settleOwnRow(const SentWrite &write, const ClaimRow &found, std::uint64_t version, TimePoint now);
    void settleUnchanged(const SentWrite &write, bool ambiguous, TimePoint now);
    void settleOvertaken(const SentWrite &write, const TableRow *row);

    OperationCounter &operations_;
    Table<AttemptId, OwnClaim> claims_;
    /** Attempts that are not abandoned, by row key. */
    Table<std::string, AttemptId> active_;
    Table<OperationId, Operation> pending_;
    std::deque<AttemptId> queue_;
    TimePoint queuedSince_;
    std::multimap<TimePoint, AttemptId> retries_;
    std::vector<InsertResult> results_;
};

} // namespace GeraniumLever
