#include "main/geraniumctl/http_channel.h"

#include <optional>
#include <utility>

namespace GeraniumLever {

HttpChannel::HttpChannel() : client_(context_) { }

HttpResult HttpChannel::exchange(const HttpRequest &request)
{
    std::optional<HttpResult> answer;
    client_.send(request, [&answer](HttpResult result) { answer = std::move(result); });
    context_.restart();
    // A pooled connection keeps the context busy after the answer, so the loop ends on the answer.
    while (!answer.has_value() && context_.run_one() > 0) { }
    return answer.value_or(HttpFailure::NoAnswer);
}

} // namespace GeraniumLever
