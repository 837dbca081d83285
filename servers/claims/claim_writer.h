/** Writes this node's claims to the table service: insertion, result and release of each, in batches. */
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

/** A claim that this node is writing, has written or may have written to the table service. */
struct LocalClaim
{
    enum class Phase : std::uint8_t {
        /** The insertion is queued or under way. */
        Inserting,
        /** The row is known to name this attempt as its holder; nothing was sent to an upstream. */
        Held,
        Dispatched,
        /** The answer's body is being written to the object store. */
        StoringBody,
        /** The result is being written to the row. */
        Recording,
        /** Will never be dispatched; the row is being released. */
        Releasing,
    };

    std::string key;
    ClaimRow row;
    Phase phase = Phase::Inserting;
    /** Condition of the next write. The table service applies the write only while the condition holds. */
    TableCondition condition;
    /** The complete answer, for repeated requests at this node. */
    std::optional<RecordedAnswer> answer;
    unsigned insertTries = 0;
    /** Delay before the next write after a failed one; grows with every failure. */
    Duration retryDelay { 0 };
    /** True while a store request for this claim is queued or under way. */
    bool hasPendingRequest = false;

    auto operator<=>(const LocalClaim &) const = default;
};

/** The insertion took effect; the row names the attempt as its holder. */
struct InsertHeld
{
    RequestId request;
    AttemptId attempt;

    auto operator<=>(const InsertHeld &) const = default;
};

/** Another request wrote the row first; the insertion never took effect and never will. */
struct InsertLost
{
    RequestId request;
    AttemptId attempt;
    TableRow row;

    auto operator<=>(const InsertLost &) const = default;
};

/** The insertion failed; the attempt will never be dispatched. */
struct InsertFailed
{
    RequestId request;
    AttemptId attempt;

    auto operator<=>(const InsertFailed &) const = default;
};

using InsertResult = std::variant<InsertHeld, InsertLost, InsertFailed>;

/**
 * Owns every attempt from its insertion to the last write for it. If the effect of a write is not known, the row is
 * read back. If the row shows no effect of an insertion, the insertion may still take effect later: the attempt is then
 * abandoned, and a release is written under the same condition as the insertion in doubt, so that at most one of the
 * two takes effect. Until the row is known to have changed, the attempt stays in the table and is reported as
 * abandoned. A result or release in doubt is retried under its condition.
 */
class ClaimWriter
{
public:
    explicit ClaimWriter(OperationCounter &operations);

    /** Queues the insertion of a claim. Results in one InsertResult, unless the attempt is abandoned before. */
    void insert(const std::string &key, const ClaimRow &row, const TableCondition &condition, TimePoint now);

    /** Marks a held claim as dispatched. Returns false, and changes nothing, if the claim is not held. */
    bool markDispatched(const AttemptId &attempt);

    /** These two ignore attempts that are not dispatched. */
    void writeAnswer(const AttemptId &attempt, const RecordedAnswer &answer, TimePoint now, Commands &commands);
    void recordUnknownOutcome(const AttemptId &attempt, TimePoint now);

    /** Abandons an attempt that will never be dispatched, or of which no byte was sent. Takes effect before the
     * function returns. */
    void abandon(const AttemptId &attempt, TimePoint now);

    ClaimStanding standingOf(const AttemptId &attempt) const;

    /** This node's claim for the key that is not abandoned; nullptr if there is none. */
    const LocalClaim *findActive(const std::string &key) const;
    bool isInserting(const AttemptId &attempt) const { return isInPhase(attempt, LocalClaim::Phase::Inserting); }
    bool isDispatched(const AttemptId &attempt) const { return isInPhase(attempt, LocalClaim::Phase::Dispatched); }
    bool hasAttempt(const AttemptId &attempt) const { return claims_.contains(attempt); }

    /** Returns false if the operation was not issued by the writer. */
    bool storeResultReceived(const StoreResult &result, TimePoint now, Commands &commands);

    /** Sends due batches and retries failed writes. */
    void tick(TimePoint now, Commands &commands);

    std::vector<InsertResult> takeInsertResults();
    std::size_t unfinished() const { return claims_.size(); }

private:
    /** A write, with its claim's phase when it was sent; the phase may have changed since. */
    struct SentWrite
    {
        AttemptId attempt;
        LocalClaim::Phase phase = LocalClaim::Phase::Inserting;
    };

    struct Operation
    {
        enum class Kind : std::uint8_t {
            Batch,
            /** Reads the rows of a batch that failed, to find out which of its writes took effect. */
            ReadBack,
            StoreBody,
        };

        Kind kind = Kind::Batch;
        std::vector<SentWrite> writes;
        /** In ReadBack: the batch may have taken effect, or may still do so. */
        bool ambiguous = false;
    };

    bool isInPhase(const AttemptId &attempt, LocalClaim::Phase phase) const;
    void enqueue(const AttemptId &attempt, TimePoint now);
    void scheduleRetry(const AttemptId &attempt, TimePoint now);
    void retry(const AttemptId &attempt, TimePoint now, Commands &commands);
    void sendBatch(TimePoint now, Commands &commands);
    void sendBody(const AttemptId &attempt, Commands &commands);
    void erase(const AttemptId &attempt);
    void removeActiveKey(const LocalClaim &claim);

    void batchAnswered(const Operation &operation, const StoreResult &result, TimePoint now, Commands &commands);
    void bodyStored(const Operation &operation, const StoreResult &result, TimePoint now);
    void rowsRead(const Operation &operation, const StoreResult &result, TimePoint now);
    void readBack(const Operation &operation, Commands &commands);

    void writeSucceeded(const SentWrite &write, TimePoint now);
    void writeRefused(const SentWrite &write, TimePoint now);
    void writeInDoubt(const SentWrite &write, TimePoint now);
    void reconcileWithRow(const SentWrite &write, bool ambiguous, const TableRow *row, TimePoint now);
    void reconcileOwnRow(const SentWrite &write, const ClaimRow &found, std::uint64_t version, TimePoint now);
    void reconcileUnchangedRow(const SentWrite &write, bool ambiguous, TimePoint now);
    void reconcileOverwrittenRow(const SentWrite &write, const TableRow *row);

    OperationCounter &operations_;
    Table<AttemptId, LocalClaim> claims_;
    /** Attempts that are not abandoned, by row key. */
    Table<std::string, AttemptId> active_;
    Table<OperationId, Operation> pending_;
    std::deque<AttemptId> queue_;
    TimePoint queuedSince_;
    std::multimap<TimePoint, AttemptId> retries_;
    std::vector<InsertResult> insertResults_;
};

} // namespace GeraniumLever
