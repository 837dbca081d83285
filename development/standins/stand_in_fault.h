/** Faults that a stand-in can be told to have, by POST /fault. */
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace GeraniumLever {

struct StandInFault
{
    enum class Kind : std::uint8_t {
        None,
        /** Closes every connection without carrying out what was asked. */
        Down,
        /** Begins each request `value` milliseconds late. */
        Slow,
        /** Carries out `value` requests, or all if it is 0, and closes the connection instead of answering. */
        LoseAnswers,
        /** Accepts and neither begins nor answers anything until the fault is lifted. */
        Freeze,
        /** Engine: breaks every connection once, when a stream has had `value` tokens. */
        CrashAfterTokens,
        /** Answers carry the X-Request-Id of another request. */
        Crossed,
        /** Announces that it leaves, refuses connections after a while and exits when it has nothing to do. */
        Leaving,
        /** Connections that exist now never carry a byte again; new ones work. */
        Silent,
        /** Table service: refuses every request for its number. */
        Overload,
        /** Engine: leaves out every `value`-th cache event. */
        CacheGaps,
    };

    Kind kind = Kind::None;
    std::uint64_t value = 0;

    auto operator<=>(const StandInFault &) const = default;
};

/** Reads {"kind": "...", "value": n}; nothing if it is malformed or the kind unknown. */
std::optional<StandInFault> parseFault(std::string_view body);

} // namespace GeraniumLever
