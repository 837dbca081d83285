/** What enters and leaves the relay system, as values. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/core.h"

namespace GeraniumLever {

/** One part of a prompt; requests with equal leading parts share what an engine keeps of them. */
struct PromptPart
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;

    auto operator<=>(const PromptPart &) const = default;
};

/** What a caller states about the work of a language-model request; all zero for other requests. */
struct PromptInfo
{
    std::uint32_t promptTokens = 0;
    /** The most tokens that the answer may have. */
    std::uint32_t outputTokens = 0;
    /** In order; the last one belongs to the request or its session alone. */
    std::vector<PromptPart> parts;

    auto operator<=>(const PromptInfo &) const = default;
};

/** A whole, well-formed request, before any look at the configuration. */
struct RelayRequest
{
    /** Issued by the node. */
    RequestId request;
    /** The caller's own identifier, for log lines. */
    std::string callerId;
    std::string host;
    /** Without the query. */
    std::string path;
    /** The bearer key; empty if there was none. */
    std::string key;
    /** How long the caller will wait, counted from arrival; absent if it does not say. */
    std::optional<Duration> deadline;
    PromptInfo prompt;

    auto operator<=>(const RelayRequest &) const = default;
};

/** Load that an upstream states in an answer. */
struct ReportedLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t seats = 0;

    auto operator<=>(const ReportedLoad &) const = default;
};

/** The head of an upstream's answer; of an answer that is not streamed, its body has arrived, too. */
struct RelayResponseHead
{
    AttemptId attempt;
    unsigned status = 0;
    /** True if the upstream states that it did not run the request. */
    bool notRun = false;
    std::optional<ReportedLoad> load;

    auto operator<=>(const RelayResponseHead &) const = default;
};

/** Another part of a streamed answer arrived. */
struct RelayProgress
{
    AttemptId attempt;

    auto operator<=>(const RelayProgress &) const = default;
};

/** The answer is whole, and all of it has been passed on. */
struct RelayEnd
{
    AttemptId attempt;

    auto operator<=>(const RelayEnd &) const = default;
};

/** The exchange with the upstream broke. */
struct RelayFailure
{
    enum class Kind : std::uint8_t {
        /** No connection; no byte was sent. */
        NotConnected,
        /** Broke after at least one byte may have left. */
        Broken,
        /** What came is no answer to this request. */
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
    /** How long the upstream may work. */
    Duration timeLeft { 0 };
    /** Rank among the configuration's tiers, of which there are tierCount; 0 is the highest. */
    std::uint32_t tier = 0;
    std::uint32_t tierCount = 1;
    /** True if the upstream is a language-model engine. */
    bool engine = false;
    bool streamed = false;
    /** True if the answer is passed on event by event, and can go on at another upstream after any event. */
    bool resumable = false;
    /** True if the caller already has part of the answer. */
    bool resumes = false;
    /** True if a pooled connection must not be used. */
    bool freshConnection = false;

    auto operator<=>(const RelayDispatch &) const = default;
};

/** Passes the attempt's answer on to the caller. */
struct RelayForward
{
    AttemptId attempt;

    auto operator<=>(const RelayForward &) const = default;
};

/** Ends an attempt early; nothing further of it is reported. */
struct RelayCancel
{
    AttemptId attempt;

    auto operator<=>(const RelayCancel &) const = default;
};

/** Makes a connection to an upstream to see whether it can be reached; answered by RelayProbeResult. */
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

/** Final answer of the node itself; nothing of an upstream's answer has been passed on. */
struct RelayRefusal
{
    RequestId request;
    Error error;
    Outcome outcome = Outcome::NotRun;

    bool operator==(const RelayRefusal &) const = default;
};

/** Breaks the caller's connection, so that the part of the answer that it has cannot look whole. */
struct RelayAbort
{
    RequestId request;

    auto operator<=>(const RelayAbort &) const = default;
};

using RelayCommand =
    std::variant<RelayDispatch, RelayForward, RelayCancel, RelayProbe, RelayRefusal, RelayAbort, Decision>;

/** In the order in which they must be carried out. */
using RelayCommands = std::vector<RelayCommand>;

} // namespace GeraniumLever
