#include "drivers/http/caller_request_reader.h"

#include <charconv>
#include <string_view>
#include <utility>

#include "drivers/http/key_hash.h"

namespace GeraniumLever {

namespace {

using Fields = RequestParser::Message;

constexpr std::string_view ClassHeader = "Geranium-Class";
constexpr std::string_view IdempotencyKeyHeader = "Idempotency-Key";
constexpr std::string_view DeadlineHeader = "Geranium-Deadline-Ms";
constexpr std::string_view MeshKeyHeader = "Geranium-Mesh-Key";
constexpr std::string_view ForwardedTeamHeader = "Geranium-Forwarded-Team";
constexpr std::string_view AuthorizationHeader = "Authorization";
/** Header fields that may occur only once, because two nodes could read repeated fields differently. */
constexpr std::string_view SingleHeaders[] = { ClassHeader,   IdempotencyKeyHeader, DeadlineHeader,
                                               MeshKeyHeader, ForwardedTeamHeader,  AuthorizationHeader };

Error malformed(std::string message)
{
    return Error { ResultCode::MalformedRequest, std::move(message), {} };
}

std::string fieldText(const Fields &fields, std::string_view name)
{
    return std::string(fields[name]);
}

/** Parses decimal milliseconds; empty if the text is anything else or states more than 365 days. */
std::optional<Duration> parseDeadline(std::string_view text)
{
    constexpr std::uint64_t MaxMilliseconds = 365ULL * 24 * 60 * 60 * 1000;
    std::uint64_t milliseconds = 0;
    const char *end = text.data() + text.size();
    const std::from_chars_result parsed = std::from_chars(text.data(), end, milliseconds);
    if (parsed.ec != std::errc() || parsed.ptr != end || milliseconds > MaxMilliseconds) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(milliseconds);
}

std::optional<Error> checkFields(const Fields &fields)
{
    for (const std::string_view name : SingleHeaders) {
        if (fields.count(name) > 1) {
            return malformed("The field " + std::string(name) + " occurs more than once.");
        }
    }
    if (fields.count(DeadlineHeader) != 0 && !parseDeadline(fields[DeadlineHeader]).has_value()) {
        return malformed("Geranium-Deadline-Ms is not a number of milliseconds.");
    }
    return std::nullopt;
}

} // namespace

CallerRequestReader::CallerRequestReader(const CallerServerSettings &settings)
    : settings_(settings), parser_(settings.maxHeaderBytes, settings.maxBodyBytes)
{
}

Result<CallerRequest> CallerRequestReader::take(const RequestId &request)
{
    Fields fields = parser_.release();
    std::optional<Error> error = checkFields(fields);
    if (error.has_value()) {
        return std::move(*error);
    }
    CallerRequest result;
    result.request = request;
    result.method = std::string(fields.method_string());
    result.target = std::string(fields.target());
    const std::string_view key = bearerKey(fields[AuthorizationHeader]);
    result.keyHash = key.empty() ? std::string() : sha256Hex(key);
    result.requestClass = ClassName(fieldText(fields, ClassHeader));
    result.idempotencyKey = fieldText(fields, IdempotencyKeyHeader);
    if (fields.count(DeadlineHeader) != 0) {
        result.deadline = parseDeadline(fields[DeadlineHeader]);
    }
    result.contentType = fieldText(fields, "Content-Type");
    result.forwarded = !settings_.meshKey.empty() && equalInConstantTime(fields[MeshKeyHeader], settings_.meshKey);
    if (result.forwarded) {
        result.forwardedTeam = TeamName(fieldText(fields, ForwardedTeamHeader));
    }
    result.body = std::move(fields.body());
    return result;
}

} // namespace GeraniumLever
