/** Error values and results. */
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "core/clock.h"
#include "core/result_code.h"

namespace GeraniumLever {

/** Describes why an operation failed. */
struct Error
{
    ResultCode code = ResultCode::Ok;
    /** Human-readable sentence; never parsed. */
    std::string message;
    /** Time after which a retry may succeed; absent if a retry never does. */
    std::optional<Duration> retryAfter;

    bool operator==(const Error &) const = default;
};

/** Either the value of a successful operation or the error of a failed one. */
template<typename Value>
using Result = std::variant<Value, Error>;

/** Value of a successful operation that returns nothing. */
using Success = std::monostate;

template<typename Value>
bool succeeded(const Result<Value> &result)
{
    return std::holds_alternative<Value>(result);
}

/** Requires succeeded(result). */
template<typename Value>
const Value &valueOf(const Result<Value> &result)
{
    return std::get<Value>(result);
}

/** Requires !succeeded(result). */
template<typename Value>
const Error &errorOf(const Result<Value> &result)
{
    return std::get<Error>(result);
}

} // namespace GeraniumLever
