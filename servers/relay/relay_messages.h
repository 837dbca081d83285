/** Events that enter and commands that leave the relay system, as value types. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/core.h"
#include "servers/relay/crash_reports.h"
#include "servers/relay/limit_reports.h"
#include "servers/relay/stream_messages.h"

namespace GeraniumLever {

/** One segment of a prompt. Requests whose leading segments are equal can share cached prefixes in an engine. */
struct PromptPart
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;

    auto operator<=>(const PromptPart &) const = default;
};

/** Set in the fingerprints of requests, and not in the identifiers of prompt parts. */
constexpr std::uint64_t RequestFingerprintBit = std::uint64_t(1) << 63;

/** What identifies a request's content, and what a caller states about a language-model request. */
struct PromptInfo
{
    std::uint32_t promptTokens = 0;
    /** Maximum number of tokens in the answer. */
    std::uint32_t outputTokens = 0;
    /** In prompt order; the last segment is specific to the request or its session. */
    std::vector<PromptPart> parts;
    /** Equal for requests that repeat each other: the same caller, target, shared parts and body; 0 if not known. */
    std::uint64_t fingerprint = 0;

    auto operator<=>(const PromptInfo &) const = default;
};

/** A complete, well-formed request that has not been checked against the configuration yet. */
struct RelayRequest
{
    /** Assigned by the node. */
    RequestId request;
    /** The caller's own identifier, used in log lines. */
    std::string callerId;
    std::string host;
    /** Without the query. */
    std::string path;
    /** The bearer key; empty if there was none. */
    std::string key;
    /** Time that the caller will wait, counted from arrival; absent if not stated. */
    std::optional<Duration> deadline;
    PromptInfo prompt;
    /** Identifier of the last event that the caller has; empty if the request takes up no stream. */
    std::string lastEventId;
    /** The caller's identifier for the request that began the stream; empty if not stated. */
    std::string resumedRequest;

    auto operator<=>(const RelayRequest &) const = default;
};

/** Load that an upstream reports in a response. */
struct ReportedLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t seats = 0;

    auto operator<=>(const ReportedLoad &) const = default;
};

/** What determines the end of a response's body. */
enum class BodyFraming : std::uint8_t {
    /** The stated length, or the absence of any body. */
    Length,
    Chunked,
    /** The end of the connection. */
    Connection,
};

/** What an upstream states about itself in the head of a response. Holds whatever becomes of the response. */
struct UpstreamNotice
{
    AttemptId attempt;
    /** True if it shuts down and must get no new requests. */
    bool leaving = false;
    /** Time for which it wants no requests from this node; absent if it does not say so. */
    std::optional<Duration> pause;
    /** Time since the upstream last refused or broke off a connection before it opened the one on which it said so. */
    std::optional<Duration> sinceLoss = std::nullopt;

    bool empty() const { return !leaving && !pause.has_value(); }

    auto operator<=>(const UpstreamNotice &) const = default;
};

/** The head of an upstream's response; if the response is not streamed, its body has arrived as well. */
struct RelayResponseHead
{
    AttemptId attempt;
    unsigned status = 0;
    /** True if the upstream states that it did not run the request. */
    bool notRun = false;
    /** True if complete events are forwarded one by one, so that another upstream can resume after any of them. */
    bool resumable = false;
    BodyFraming framing = BodyFraming::Length;
    /** True if an earlier exchange has used the connection. */
    bool connectionReused = false;
    std::optional<ReportedLoad> load;
    /** Requests per second that the upstream takes from all nodes together; absent if it does not limit them. */
    std::optional<double> requestLimit;

    auto operator<=>(const RelayResponseHead &) const = default;
};

/** Another part of a response has arrived. */
struct RelayProgress
{
    AttemptId attempt;
    /** True if the response is forwarded only once it is complete, and is not complete yet. */
    bool heldBack = false;

    auto operator<=>(const RelayProgress &) const = default;
};

/** The response is complete, and all of it has been forwarded. */
struct RelayCompleted
{
    AttemptId attempt;

    auto operator<=>(const RelayCompleted &) const = default;
};

/** The exchange with the upstream failed. */
struct RelayFailure
{
    enum class Kind : std::uint8_t {
        /** No connection was made; no byte was sent. */
        NotConnected,
        /** The connection broke after at least one byte may have been sent. */
        Broken,
        /** The received data is not a valid response to this request. */
        InvalidResponse,
    };

    AttemptId attempt;
    Kind kind = Kind::Broken;

    auto operator<=>(const RelayFailure &) const = default;
};

/** Sends a request to an upstream. */
struct RelayDispatch
{
    RequestId request;
    AttemptId attempt;
    UpstreamName upstream;
    /** "a.b.c.d:port". */
    std::string address;
    /** Empty if the route is open. */
    TeamName team;
    /** Time that the upstream may take. */
    Duration timeLeft { 0 };
    /** Rank among the configuration's tiers, of which there are tierCount; 0 is the highest. */
    std::uint32_t tier = 0;
    std::uint32_t tierCount = 1;
    /** True if the upstream is a language-model engine. */
    bool engine = false;
    bool streamed = false;
    /** True if a stream of events may be resumed at another upstream after any event. */
    bool resumable = false;
    /** True if the caller has already received part of the response. */
    bool resumes = false;
    /** True if no pooled connection may be used. */
    bool freshConnection = false;
    /** True if the response must not be read until RelaySetReading allows it. */
    bool readPaused = false;

    auto operator<=>(const RelayDispatch &) const = default;
};

/** Forwards the attempt's response to the caller. */
struct RelayForward
{
    AttemptId attempt;

    auto operator<=>(const RelayForward &) const = default;
};

/** Cancels an attempt; no further events are reported for it. */
struct RelayCancel
{
    AttemptId attempt;

    auto operator<=>(const RelayCancel &) const = default;
};

/** Pauses or resumes reading an attempt's response. */
struct RelaySetReading
{
    AttemptId attempt;
    bool enabled = true;

    auto operator<=>(const RelaySetReading &) const = default;
};

/** Opens a connection to an upstream to check whether it is reachable; answered by RelayProbeResult. */
struct RelayProbe
{
    UpstreamName upstream;
    /** "a.b.c.d:port". */
    std::string address;

    auto operator<=>(const RelayProbe &) const = default;
};

/** Result of a probe. */
struct RelayProbeResult
{
    UpstreamName upstream;
    bool reached = false;

    auto operator<=>(const RelayProbeResult &) const = default;
};

/** Final response from the node itself; nothing of an upstream's response has been forwarded. */
struct RelayRefusal
{
    RequestId request;
    Error error;
    Outcome outcome = Outcome::NotRun;

    bool operator==(const RelayRefusal &) const = default;
};

/** Aborts the caller's connection, so that the partial response cannot be mistaken for a complete one. */
struct RelayAbort
{
    RequestId request;

    auto operator<=>(const RelayAbort &) const = default;
};

/** Reads the notes on versions from the store; answered by RelaySystem::versionNotesRead(). */
struct ReadVersionNotes
{
    auto operator<=>(const ReadVersionNotes &) const = default;
};

/** Reads what the store keeps of all nodes' streams; answered by RelaySystem::storedOriginsRead(). */
struct ReadStoredOrigins
{
    auto operator<=>(const ReadStoredOrigins &) const = default;
};

using RelayCommand = std::variant<RelayDispatch,
                                  RelayForward,
                                  RelayCancel,
                                  RelaySetReading,
                                  RelayProbe,
                                  RelayRefusal,
                                  RelayAbort,
                                  OutgoingStreamMessage,
                                  OutgoingCrashReport,
                                  OutgoingLimitReport,
                                  ReadVersionNotes,
                                  ReadStoredOrigins,
                                  Decision>;

/** In the order in which they must be executed. */
using RelayCommands = std::vector<RelayCommand>;

} // namespace GeraniumLever
