#include "development/standins/stand_in_fault.h"

#include <boost/json.hpp>

namespace GeraniumLever {

namespace {

struct KindRow
{
    std::string_view name;
    StandInFault::Kind kind;
};

constexpr KindRow Kinds[] = {
    { "none", StandInFault::Kind::None },
    { "down", StandInFault::Kind::Down },
    { "slow", StandInFault::Kind::Slow },
    { "lose_answers", StandInFault::Kind::LoseAnswers },
    { "freeze", StandInFault::Kind::Freeze },
    { "crash_after_tokens", StandInFault::Kind::CrashAfterTokens },
    { "crossed", StandInFault::Kind::Crossed },
    { "leaving", StandInFault::Kind::Leaving },
    { "silent", StandInFault::Kind::Silent },
    { "overload", StandInFault::Kind::Overload },
    { "cache_gaps", StandInFault::Kind::CacheGaps },
};

} // namespace

std::optional<StandInFault> parseFault(std::string_view body)
{
    boost::json::error_code error;
    boost::json::value parsed = boost::json::parse(body, error);
    if (error || !parsed.is_object()) {
        return std::nullopt;
    }
    const boost::json::value *kind = parsed.get_object().if_contains("kind");
    const boost::json::value *value = parsed.get_object().if_contains("value");
    if (kind == nullptr || !kind->is_string()) {
        return std::nullopt;
    }
    for (const KindRow &row : Kinds) {
        if (row.name != std::string_view(kind->get_string())) {
            continue;
        }
        std::uint64_t number = value == nullptr ? 0 : value->to_number<std::uint64_t>(error);
        return error ? std::nullopt : std::optional<StandInFault>(StandInFault { row.kind, number });
    }
    return std::nullopt;
}

} // namespace GeraniumLever
