/** Formatting of errors for callers and operators. */
#pragma once

#include <optional>
#include <string>

#include "core/core.h"

namespace GeraniumLever {

/** {"error":{"code":N,"name":"...","message":"...","outcome":"..."}}, with "retry_after_ms" if the error states when
 *  to retry. */
std::string formatErrorBody(const Error &error, const std::optional<Outcome> &outcome);

/** Value of Retry-After: whole seconds, rounded up, at least 1. */
std::string formatRetryAfter(Duration retryAfter);

} // namespace GeraniumLever
