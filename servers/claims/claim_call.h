/** State of one caller request while its claim is being decided. */
#pragma once

#include <optional>
#include <string>

#include "core/core.h"
#include "servers/claims/claim_row.h"

namespace GeraniumLever {

/** One caller request, from its look-up until it is refused or replayed, or until its call ends or is abandoned. */
struct ClaimCall
{
    enum class Kind : std::uint8_t {
        /** Only queries the status of the key. */
        Status,
        LookUp,
        Claim,
    };

    enum class Stage : std::uint8_t {
        /** This request's identifier is being written to the row. Once written, no request that registered earlier can
         *  claim the row. */
        Registering,
        /** The row is being read. */
        Reading,
        /** The node that holds the claim is being queried. */
        Querying,
        /** The recorded answer's body is being read from the object store. */
        Fetching,
        /** The row may be claimed under `condition`. */
        Claimable,
        /** The claim was handed to the claim writer. */
        HandedToWriter,
    };

    ClaimRequest request;
    std::string key;
    Kind kind = Kind::LookUp;
    Stage stage = Stage::Reading;
    /** The pending store request in the stages Registering, Reading and Fetching. */
    OperationId operation;
    TimePoint lookUpStartedAt;
    /** When the current stage times out. */
    TimePoint timeout;
    TableCondition condition;
    AttemptId attempt;
    /** The row as last read, which the stages Querying and Fetching refer to, and its version. */
    ClaimRow row;
    std::uint64_t rowVersion = 0;
    /** Finished or NotKnown, if the row's holder reported that for this version of the row. */
    std::optional<ClaimStanding> standing;
    /** Number of times a holder reported Finished or NotKnown. */
    unsigned rereads = 0;
    unsigned registrations = 0;

    bool operator==(const ClaimCall &) const = default;
};

} // namespace GeraniumLever
