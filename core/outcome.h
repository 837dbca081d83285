/** Outcome of a request as reported to the caller. */
#pragma once

#include <cstdint>
#include <string_view>

namespace GeraniumLever {

/** Final outcome of a request, sent in the Geranium-Outcome header. */
enum class Outcome : std::uint8_t {
    /** The complete response of the upstream was delivered. */
    Answered,
    /** No byte of the request was or will be sent to an upstream. */
    NotRun,
    /** An idempotent request was started but not completed; it is safe to repeat. */
    Failed,
    /** A non-idempotent request may or may not have run; it will not run again under its idempotency key. */
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
