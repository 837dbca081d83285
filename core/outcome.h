/** What a caller is told about its request. */
#pragma once

#include <cstdint>
#include <string_view>

namespace GeraniumLever {

/** Final outcome of a request, as the Geranium-Outcome header carries it. */
enum class Outcome : std::uint8_t {
    /** The whole answer of the upstream was delivered. */
    Answered,
    /** No byte of the request was ever sent to an upstream, and none will be. */
    NotRun,
    /** Idempotent work was begun and did not finish; it is safe to repeat. */
    Failed,
    /** Non-idempotent work may or may not have run; it will not be run again under this key. */
    Unknown,
};

/** "answered", "not_run", "failed" or "unknown". */
constexpr std::string_view outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Answered:
        return "answered";
    case Outcome::NotRun:
        return "not_run";
    case Outcome::Failed:
        return "failed";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace GeraniumLever
