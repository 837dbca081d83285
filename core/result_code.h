/** Numeric result codes. docs/ERRORS.md documents them for operators and callers. */
#pragma once

#include <cstdint>
#include <string_view>

namespace GeraniumLever {

/** The hundreds digit is the area: 1 caller input, 2 capacity, 3 upstream, 4 claims, 5 tickets, 6 settings, 7 store,
 *  8 mesh, 9 orders. */
enum class ResultCode : std::uint16_t {
    Ok = 0,

    MalformedRequest = 100,
    BodyTooLarge = 101,
    HeadersTooLarge = 102,
    Unauthorized = 103,
    UnknownClass = 104,
    UnknownModel = 105,
    UnknownService = 106,
    MissingIdempotencyKey = 107,
    KeyReusedWithOtherBody = 108,
    RequestTimeout = 109,
    UnknownPath = 110,
    ClassNotAllowed = 111,
    TooManyConnections = 112,
    UnknownRequest = 113,
    CallerGone = 114,

    Shed = 200,
    DeadlineUnreachable = 201,
    NoUpstream = 202,
    TeamLimit = 203,
    QueueFull = 204,
    NodeStopping = 205,
    NotReady = 206,
    ConfigurationOutdated = 207,
    UpstreamFull = 208,
    StreamOriginUnknown = 209,
    UpstreamPaused = 210,
    PromptQuarantined = 211,
    UpstreamLimited = 212,

    UpstreamLost = 300,
    UpstreamRefused = 301,
    UpstreamTimeout = 302,
    AnswerIncomplete = 303,
    CrossedAnswer = 304,
    AnswerTooLarge = 305,
    UpstreamFailed = 306,

    ClaimStoreUnavailable = 400,
    ClaimRunning = 401,
    OutcomeUnknown = 402,

    TicketInvalid = 500,
    TicketConflict = 501,
    TicketNumberTaken = 502,
    TicketNumberNotAboveHead = 503,
    TicketStoreUnavailable = 504,
    TicketNotFound = 505,
    TicketEpochMismatch = 506,

    SettingsInvalid = 600,
    SettingsUnreadable = 601,

    TableUnavailable = 700,
    TableAmbiguous = 701,
    TableConditionFailed = 702,
    ObjectNotFound = 703,
    ConfigurationInvalid = 704,

    PeerUnreachable = 800,
    PeerRejected = 801,

    LeaseLost = 900,
    StaleFence = 901,
    OrderFailed = 902,
};

/** Name of the code in snake_case, as used in error bodies and log lines. */
std::string_view resultCodeName(ResultCode code);

/** HTTP status that is sent to the caller or operator with the code. */
unsigned httpStatusFor(ResultCode code);

} // namespace GeraniumLever
