/** Errors as values. */
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "core/clock.h"
#include "core/result_code.h"

namespace GeraniumLever {

/** Why an operation did not succeed. */
struct Error
{
    ResultCode code = ResultCode::Ok;
    /** One sentence for a person; never parsed. */
    std::string message;
    /** When asking again makes sense; absent if it never does. */
    std::optional<Duration> retryAfter;

    bool operator==(const Error &) const = default;
};

/** Either the value of a successful operation or the error that prevented it. */
template<typename Value>
using Result = std::variant<Value, Error>;

/** The value of a successful operation that has nothing to return. */
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
