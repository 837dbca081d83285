#include "drivers/http/error_body.h"

#include <algorithm>

#include <boost/json.hpp>

namespace GeraniumLever {

std::string formatErrorBody(const Error &error, const std::optional<Outcome> &outcome)
{
    boost::json::object fields { { "code", static_cast<unsigned>(error.code) },
                                 { "name", resultCodeName(error.code) },
                                 { "message", error.message } };
    if (outcome.has_value()) {
        fields["outcome"] = outcomeName(*outcome);
    }
    if (error.retryAfter.has_value()) {
        fields["retry_after_ms"] = toMilliseconds(*error.retryAfter);
    }
    return boost::json::serialize(boost::json::object { { "error", std::move(fields) } });
}

std::string formatRetryAfter(Duration retryAfter)
{
    const std::chrono::seconds seconds = std::chrono::ceil<std::chrono::seconds>(retryAfter);
    return std::to_string(std::max<std::chrono::seconds::rep>(seconds.count(), 1));
}

} // namespace GeraniumLever
