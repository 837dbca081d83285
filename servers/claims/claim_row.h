/** The table service row that stores the claim of one call. */
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/core.h"
#include "servers/claims/claim_system.h"

namespace GeraniumLever {

/** Largest answer body that is stored in the row itself; larger bodies go to the object store. */
constexpr std::size_t MaxInlineBodyBytes = 64 * 1024;

/** State of a claim row. Rows are never removed, so a row's version is the number of times it was written. */
enum class ClaimState : std::uint8_t {
    /** Held by an attempt; only the holding node knows whether the attempt was dispatched. */
    Claimed,
    /** No attempt holds the claim. If the row names an attempt, it was never dispatched and never will be. */
    Released,
    /** The call ran, and the row holds its answer. */
    Answered,
    /** The call was dispatched, and it is not known whether it ran. */
    Unknown,
};

struct ClaimRow
{
    ClaimState state = ClaimState::Claimed;
    std::uint64_t bodyDigest = 0;
    AttemptId attempt;
    RequestId request;
    NodeName holder;
    Incarnation incarnation;
    /** The body is empty if it is stored in the object store. */
    RecordedAnswer answer;
    /** Name of the object that stores the body; empty if the body is stored in the row. */
    std::string bodyObject;

    auto operator<=>(const ClaimRow &) const = default;
};

/** Key of a call's row: "claim/TEAM/KEY" with both parts percent-encoded, so that different calls never share a row. */
std::string claimRowKey(const TeamName &team, const std::string &idempotencyKey);

std::string formatClaimRow(const ClaimRow &row);

/** Returns nullopt if the text is not a valid claim row. */
std::optional<ClaimRow> parseClaimRow(std::string_view text);

/** True if the answer's body may be stored in the row: at most MaxInlineBodyBytes long, and valid UTF-8. */
bool fitsInRow(const RecordedAnswer &answer);

} // namespace GeraniumLever
