#include "servers/ingress/request_admission.h"

#include <algorithm>
#include <string_view>

#include "servers/ingress/percent_decoding.h"

namespace GeraniumLever {

namespace {

constexpr std::string_view ChatPath = "/v1/chat/completions";
constexpr std::string_view CompletionPath = "/v1/completions";
constexpr std::string_view ServicesPrefix = "/services/";
constexpr std::string_view RequestsPrefix = "/v1/requests/";
constexpr std::size_t MaxIdempotencyKeyBytes = 255;
/** Approximate size of a token in bytes of text, to estimate the number of tokens of a prompt. */
constexpr std::size_t BytesPerToken = 4;

Error makeError(ResultCode code, std::string message)
{
    return Error { code, std::move(message), std::nullopt };
}

const Team *authenticate(const CallerRequest &call, const Catalog &catalog)
{
    if (call.forwarded) {
        return catalog.teams().find(call.forwardedTeam);
    }
    return call.keyHash.empty() ? nullptr : catalog.teamByKeyHash(call.keyHash);
}

bool isClassAllowed(const Team &team, const ClassName &name)
{
    return team.classes.empty() || std::find(team.classes.begin(), team.classes.end(), name) != team.classes.end();
}

/** Sets the row's class from the header, or from the team's only class. */
std::optional<Error> chooseClass(const CallerRequest &call, const Team &team, const Catalog &catalog, RequestRow &row)
{
    ClassName name = call.requestClass;
    if (name.empty() && team.classes.size() == 1) {
        name = team.classes.front();
    }
    const RequestClass *requestClass = catalog.classes().find(name);
    if (requestClass == nullptr) {
        return makeError(ResultCode::UnknownClass, "Geranium-Class must name a request class");
    }
    if (!isClassAllowed(team, name)) {
        return makeError(ResultCode::ClassNotAllowed, "the team may not use class " + name.text());
    }
    row.requestClass = *requestClass;
    return std::nullopt;
}

std::optional<Error> readCompletion(const CallerRequest &call, bool chat, const Catalog &catalog, RequestRow &row)
{
    if (call.method != "POST") {
        return makeError(ResultCode::UnknownPath, "completions require the POST method");
    }
    const Result<CompletionBody> parsed = CompletionBody::parse(call.body, chat);
    if (!succeeded(parsed)) {
        return errorOf(parsed);
    }
    row.completion = valueOf(parsed);
    row.answer = AnswerAssembler(chat);
    const Pool *pool = catalog.poolForModel(row.completion->model());
    if (pool == nullptr) {
        return makeError(ResultCode::UnknownModel, "no pool serves model " + row.completion->model().text());
    }
    row.pool = pool->name;
    row.promptTokens = static_cast<std::uint32_t>(row.completion->promptText().size() / BytesPerToken);
    row.prefixHashes = prefixBlockHashes(row.completion->promptText());
    return std::nullopt;
}

std::optional<Error> readServiceCall(const CallerRequest &call, const Catalog &catalog, RequestRow &row)
{
    const std::string_view rest = std::string_view(call.target).substr(ServicesPrefix.size());
    const std::string_view name = rest.substr(0, rest.find_first_of("/?"));
    const Pool *pool = catalog.poolForService(name);
    if (pool == nullptr) {
        return makeError(ResultCode::UnknownService, "no pool serves /services/" + std::string(name));
    }
    row.pool = pool->name;
    return std::nullopt;
}

std::optional<Error> checkAtMostOnce(const CallerRequest &call, const RequestRow &row)
{
    if (call.idempotencyKey.size() > MaxIdempotencyKeyBytes) {
        return makeError(ResultCode::MalformedRequest, "Idempotency-Key is longer than 255 bytes");
    }
    if (row.requestClass.idempotent) {
        return std::nullopt;
    }
    if (call.idempotencyKey.empty()) {
        return makeError(ResultCode::MissingIdempotencyKey,
                         "calls of class " + row.requestClass.name.text() + " require an Idempotency-Key header");
    }
    if (row.streamed()) {
        return makeError(ResultCode::MalformedRequest, "a call that runs at most once cannot be streamed");
    }
    return std::nullopt;
}

} // namespace

Result<RequestRow> admitRequest(const CallerRequest &call, const Catalog &catalog, TimePoint now)
{
    RequestRow row;
    row.call = call;
    row.arrivedAt = now;
    const Team *team = authenticate(call, catalog);
    if (team == nullptr) {
        return makeError(ResultCode::Unauthorized, "the Authorization header does not identify a team");
    }
    row.team = team->name;
    const std::string_view path = std::string_view(call.target).substr(0, call.target.find('?'));
    if (path.starts_with(RequestsPrefix) && path.size() > RequestsPrefix.size() && call.method == "GET") {
        row.call.idempotencyKey = percentDecoded(path.substr(RequestsPrefix.size()));
        row.phase = RequestPhase::QueryingStatus;
        row.deadline = now + std::chrono::seconds(10);
        return row;
    }
    const bool completion = path == ChatPath || path == CompletionPath;
    if (!completion && !path.starts_with(ServicesPrefix)) {
        return makeError(ResultCode::UnknownPath, "no such path");
    }
    if (std::optional<Error> error = chooseClass(call, *team, catalog, row)) {
        return *error;
    }
    std::optional<Error> error =
        completion ? readCompletion(call, path == ChatPath, catalog, row) : readServiceCall(call, catalog, row);
    if (!error) {
        error = checkAtMostOnce(call, row);
    }
    if (error) {
        return *error;
    }
    row.phase = row.requestClass.idempotent ? RequestPhase::WaitingForSeat : RequestPhase::LookingUp;
    row.deadline = now + call.deadline.value_or(row.requestClass.defaultDeadline);
    return row;
}

} // namespace GeraniumLever
