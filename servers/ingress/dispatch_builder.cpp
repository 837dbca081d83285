#include "servers/ingress/dispatch_builder.h"

#include <algorithm>
#include <string_view>

namespace GeraniumLever {

namespace {

/** A stream is considered silent after this many times the greater of the class's first-token and token-gap targets. */
constexpr int SilenceGapFactor = 3;
constexpr Duration MinCompletionSilenceLimit = std::chrono::seconds(3);
constexpr Duration ServiceSilenceLimit = std::chrono::seconds(30);

Duration silenceLimit(const RequestRow &row)
{
    if (!row.completion) {
        return ServiceSilenceLimit;
    }
    return std::max(MinCompletionSilenceLimit,
                    SilenceGapFactor * std::max(row.requestClass.firstTokenTarget, row.requestClass.tokenGapTarget));
}

/** The path at a plain service: what follows /services/NAME. */
std::string servicePath(const std::string &target)
{
    constexpr std::string_view Prefix = "/services/";
    const std::size_t rest = target.find_first_of("/?", Prefix.size());
    if (rest == std::string::npos) {
        return "/";
    }
    return target[rest] == '/' ? target.substr(rest) : "/" + target.substr(rest);
}

} // namespace

UpstreamDispatch makeDispatch(const RequestRow &row, const Upstream &upstream)
{
    UpstreamDispatch dispatch;
    dispatch.attempt = row.running.attempt;
    dispatch.request = row.call.request;
    dispatch.target = upstream.name.text();
    dispatch.address = upstream.address;
    dispatch.method = row.call.method;
    dispatch.contentType = row.call.contentType;
    dispatch.priority = row.requestClass.tier;
    dispatch.freshConnection = !row.requestClass.idempotent;
    dispatch.silenceLimit = silenceLimit(row);
    if (!row.call.idempotencyKey.empty()) {
        dispatch.headers.push_back({ "idempotency-key", row.call.idempotencyKey });
    }
    if (!row.completion) {
        dispatch.path = servicePath(row.call.target);
        dispatch.body = row.call.body;
        return dispatch;
    }
    dispatch.path = row.call.target;
    dispatch.contentType = "application/json";
    dispatch.body = row.completion->engineBody(row.requestClass.tier, row.answer.text(), row.answer.tokens());
    dispatch.streamed = true;
    return dispatch;
}

UpstreamDispatch makeForward(const RequestRow &row,
                             const NodeAddress &node,
                             const std::string &meshKey,
                             Duration timeLeft)
{
    UpstreamDispatch dispatch;
    dispatch.attempt = row.running.attempt;
    dispatch.request = row.call.request;
    dispatch.target = node.node.text();
    dispatch.address = node.callerAddress;
    dispatch.method = row.call.method;
    dispatch.path = row.call.target;
    dispatch.contentType = row.call.contentType;
    dispatch.body = row.call.body;
    if (row.completion && row.requestClass.idempotent) {
        dispatch.body = row.completion->engineBody(row.requestClass.tier, row.answer.text(), row.answer.tokens());
        dispatch.streamed = true;
    }
    dispatch.priority = row.requestClass.tier;
    dispatch.freshConnection = !row.requestClass.idempotent;
    dispatch.silenceLimit = timeLeft + ServiceSilenceLimit;
    dispatch.headers = {
        { "geranium-mesh-key", meshKey },
        { "geranium-forwarded-team", row.team.text() },
        { "geranium-class", row.requestClass.name.text() },
        { "geranium-deadline-ms", std::to_string(toMilliseconds(timeLeft)) },
    };
    if (!row.call.idempotencyKey.empty()) {
        dispatch.headers.push_back({ "idempotency-key", row.call.idempotencyKey });
    }
    return dispatch;
}

} // namespace GeraniumLever
