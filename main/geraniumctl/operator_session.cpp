#include "main/geraniumctl/operator_session.h"

#include <utility>

#include "main/geraniumctl/replies.h"

namespace GeraniumLever {

namespace {

/** Longer than a node takes to determine the result of a ticket whose transaction got no answer. */
constexpr Duration ReplyTimeout = std::chrono::seconds(12);
constexpr unsigned HttpUnavailable = 503;

} // namespace

OperatorSession::OperatorSession(OperatorChannel &channel, std::vector<std::string> nodes, std::string key)
    : channel_(channel), nodes_(std::move(nodes)), key_(std::move(key))
{
}

SessionResult OperatorSession::get(const std::string &target)
{
    HttpRequest request;
    request.target = target;
    return tryAll(request);
}

SessionResult OperatorSession::submit(const std::string &text)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/admin/tickets";
    request.headers.push_back(HeaderField { "content-type", "application/yaml" });
    request.body = text;
    return tryAll(request);
}

SessionResult OperatorSession::tryAll(const HttpRequest &request)
{
    SessionFailure failure;
    for (const std::string &node : nodes_) {
        HttpRequest attempt = request;
        attempt.address = node;
        attempt.timeout = ReplyTimeout;
        attempt.headers.push_back(HeaderField { "authorization", "Bearer " + key_ });
        const HttpResult result = channel_.exchange(attempt);
        if (const HttpFailure *httpFailure = std::get_if<HttpFailure>(&result)) {
            const bool sent = *httpFailure == HttpFailure::NoAnswer;
            failure.mayHaveActed = failure.mayHaveActed || sent;
            failure.message += node + (sent ? ": no answer\n" : ": cannot be reached\n");
            continue;
        }
        const HttpResponse &response = std::get<HttpResponse>(result);
        if (response.status != HttpUnavailable) {
            return response;
        }
        const std::optional<ErrorReply> error = readError(response.body);
        const bool isAmbiguous = error.has_value() && error->code == ResultCode::TableAmbiguous;
        failure.mayHaveActed = failure.mayHaveActed || isAmbiguous;
        failure.message += node + ": " + (error.has_value() ? error->message : "not available") + "\n";
    }
    if (nodes_.empty()) {
        failure.message = "no node given; use --node a.b.c.d:port\n";
    }
    return failure;
}

} // namespace GeraniumLever
