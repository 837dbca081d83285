/** The row of the table service that holds the claim of one call. */
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/core.h"
#include "servers/claims/claim_system.h"

namespace GeraniumLever {

/** Largest answer body that is kept in the row itself; larger ones go to the object store. */
constexpr std::size_t MaxInlineBodyBytes = 64 * 1024;

/** Rows are never removed, so that a row's version says how often it was written. */
enum class ClaimState : std::uint8_t {
    /** Held by an attempt; only its node knows whether it was dispatched. */
    Claimed,
    /** Was held by an attempt that was never dispatched and never will be. */
    Released,
    /** The call ran, and the row holds its answer. */
    Answered,
    /** The call was dispatched, and nobody knows whether it ran. */
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
    /** The body is empty if it is kept as an object. */
    RecordedAnswer answer;
    /** Name of the object that holds the body; empty if there is none. */
    std::string object;

    auto operator<=>(const ClaimRow &) const = default;
};

/** Key of a call's row: "claim/TEAM/KEY" with both parts percent-encoded, so that no two calls share a row. */
std::string claimRowKey(const TeamName &team, const std::string &idempotencyKey);

std::string formatClaimRow(const ClaimRow &row);

/** Nothing if the text is not a claim row. */
std::optional<ClaimRow> parseClaimRow(std::string_view text);

/** True if the answer's body may be kept in the row: it is short, and text. */
bool fitsInRow(const RecordedAnswer &answer);

} // namespace GeraniumLever
