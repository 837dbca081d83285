/** A caller's request on its way to a claim. */
#pragma once

#include <optional>
#include <string>

#include "core/core.h"
#include "servers/claims/claim_row.h"

namespace GeraniumLever {

/** One request of a caller, from its look-up until it is refused, replayed, or handed to the claim writer for good. */
struct ClaimCall
{
    enum class Kind : std::uint8_t {
        /** Only the caller's question what became of the key. */
        Status,
        LookUp,
        Claim,
    };

    enum class Stage : std::uint8_t {
        /** The row is being given this request's name, which shuts out all requests that did so before. */
        Registering,
        /** The row is being read. */
        Reading,
        /** The node that holds the claim is being asked. */
        Querying,
        /** The recorded answer's body is being read from the object store. */
        Fetching,
        /** The row may be claimed under `condition`. */
        Claimable,
        /** The claim writer has the claim. */
        Owner,
    };

    ClaimRequest request;
    std::string key;
    Kind kind = Kind::LookUp;
    Stage stage = Stage::Reading;
    /** The request to the store under way, in Registering, Reading and Fetching. */
    OperationId operation;
    /** When the look-up began. */
    TimePoint askedAt;
    /** When the stage is given up. */
    TimePoint timeout;
    TableCondition condition;
    AttemptId attempt;
    /** The row that the stages Querying and Fetching are about, and its version. */
    ClaimRow row;
    std::uint64_t rowVersion = 0;
    /** Finished or NotKnown, if the row's holder said so of this version of the row. */
    std::optional<ClaimStanding> standing;
    /** How often a holder said so. */
    unsigned rereads = 0;
    unsigned registrations = 0;

    bool operator==(const ClaimCall &) const = default;
};

} // namespace GeraniumLever
