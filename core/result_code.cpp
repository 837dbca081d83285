#include "core/result_code.h"

#include <algorithm>
#include <iterator>

namespace GeraniumLever {

namespace {

struct CodeRow
{
    ResultCode code;
    std::string_view name;
    unsigned httpStatus;
};

constexpr CodeRow CodeRows[] = {
    { ResultCode::Ok, "ok", 200 },
    { ResultCode::MalformedRequest, "malformed_request", 400 },
    { ResultCode::BodyTooLarge, "body_too_large", 413 },
    { ResultCode::HeadersTooLarge, "headers_too_large", 431 },
    { ResultCode::Unauthorized, "unauthorized", 401 },
    { ResultCode::UnknownClass, "unknown_class", 400 },
    { ResultCode::UnknownModel, "unknown_model", 404 },
    { ResultCode::UnknownService, "unknown_service", 404 },
    { ResultCode::MissingIdempotencyKey, "missing_idempotency_key", 400 },
    { ResultCode::KeyReusedWithOtherBody, "key_reused_with_other_body", 422 },
    { ResultCode::RequestTimeout, "request_timeout", 408 },
    { ResultCode::UnknownPath, "unknown_path", 404 },
    { ResultCode::ClassNotAllowed, "class_not_allowed", 403 },
    { ResultCode::TooManyConnections, "too_many_connections", 503 },
    { ResultCode::UnknownRequest, "unknown_request", 404 },
    { ResultCode::CallerGone, "caller_gone", 499 },
    { ResultCode::Shed, "shed", 503 },
    { ResultCode::DeadlineUnreachable, "deadline_unreachable", 503 },
    { ResultCode::NoUpstream, "no_upstream", 503 },
    { ResultCode::TeamLimit, "team_limit", 429 },
    { ResultCode::QueueFull, "queue_full", 503 },
    { ResultCode::NodeStopping, "node_stopping", 503 },
    { ResultCode::NotReady, "not_ready", 503 },
    { ResultCode::ConfigurationOutdated, "configuration_outdated", 503 },
    { ResultCode::UpstreamFull, "upstream_full", 503 },
    { ResultCode::StreamOriginUnknown, "stream_origin_unknown", 503 },
    { ResultCode::UpstreamPaused, "upstream_paused", 503 },
    { ResultCode::PromptQuarantined, "prompt_quarantined", 503 },
    { ResultCode::UpstreamLimited, "upstream_limited", 503 },
    { ResultCode::UpstreamLost, "upstream_lost", 502 },
    { ResultCode::UpstreamRefused, "upstream_refused", 502 },
    { ResultCode::UpstreamTimeout, "upstream_timeout", 504 },
    { ResultCode::AnswerIncomplete, "answer_incomplete", 502 },
    { ResultCode::CrossedAnswer, "crossed_answer", 502 },
    { ResultCode::AnswerTooLarge, "answer_too_large", 502 },
    { ResultCode::UpstreamFailed, "upstream_failed", 502 },
    { ResultCode::ClaimStoreUnavailable, "claim_store_unavailable", 503 },
    { ResultCode::ClaimRunning, "claim_running", 409 },
    { ResultCode::OutcomeUnknown, "outcome_unknown", 409 },
    { ResultCode::TicketInvalid, "ticket_invalid", 422 },
    { ResultCode::TicketConflict, "ticket_conflict", 409 },
    { ResultCode::TicketNumberTaken, "ticket_number_taken", 409 },
    { ResultCode::TicketNumberNotAboveHead, "ticket_number_not_above_head", 409 },
    { ResultCode::TicketStoreUnavailable, "ticket_store_unavailable", 503 },
    { ResultCode::TicketNotFound, "ticket_not_found", 404 },
    { ResultCode::TicketEpochMismatch, "ticket_epoch_mismatch", 409 },
    { ResultCode::SettingsInvalid, "settings_invalid", 500 },
    { ResultCode::SettingsUnreadable, "settings_unreadable", 500 },
    { ResultCode::TableUnavailable, "table_unavailable", 503 },
    { ResultCode::TableAmbiguous, "table_ambiguous", 503 },
    { ResultCode::TableConditionFailed, "table_condition_failed", 409 },
    { ResultCode::ObjectNotFound, "object_not_found", 404 },
    { ResultCode::ConfigurationInvalid, "configuration_invalid", 503 },
    { ResultCode::PeerUnreachable, "peer_unreachable", 503 },
    { ResultCode::PeerRejected, "peer_rejected", 403 },
    { ResultCode::LeaseLost, "lease_lost", 409 },
    { ResultCode::StaleFence, "stale_fence", 409 },
    { ResultCode::OrderFailed, "order_failed", 502 },
};

const CodeRow *findRow(ResultCode code)
{
    const CodeRow *row = std::find_if(
        std::begin(CodeRows), std::end(CodeRows), [code](const CodeRow &candidate) { return candidate.code == code; });
    return row == std::end(CodeRows) ? nullptr : row;
}

} // namespace

std::string_view resultCodeName(ResultCode code)
{
    const CodeRow *row = findRow(code);
    return row == nullptr ? std::string_view("unlisted") : row->name;
}

unsigned httpStatusFor(ResultCode code)
{
    constexpr unsigned InternalServerError = 500;
    const CodeRow *row = findRow(code);
    return row == nullptr ? InternalServerError : row->httpStatus;
}

} // namespace GeraniumLever
