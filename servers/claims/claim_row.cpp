#include "servers/claims/claim_row.h"

#include <array>
#include <charconv>

#include <boost/json.hpp>

namespace GeraniumLever {

namespace json = boost::json;

namespace {

constexpr std::array<std::string_view, 4> StateNames = { "claimed", "released", "answered", "unknown" };
constexpr int HexBase = 16;

bool isUnescaped(char c)
{
    return c > ' ' && c <= '~' && c != '/' && c != '%';
}

/** Percent-encodes a part of a row key. Printable ASCII other than '/' and '%' is left as it is, so that the keys
 * written by earlier versions stay valid. */
std::string escapedKeyPart(std::string_view text)
{
    constexpr std::string_view Digits = "0123456789ABCDEF";
    constexpr unsigned HighDigitShift = 4;
    constexpr unsigned LowDigitMask = 15;
    std::string encoded;
    for (const char c : text) {
        if (isUnescaped(c)) {
            encoded += c;
            continue;
        }
        const unsigned byte = static_cast<unsigned char>(c);
        encoded += '%';
        encoded += Digits[byte >> HighDigitShift];
        encoded += Digits[byte & LowDigitMask];
    }
    return encoded;
}

std::optional<std::string> stringMember(const json::object &object, std::string_view name)
{
    const json::value *member = object.if_contains(name);
    if (member == nullptr || !member->is_string()) {
        return std::nullopt;
    }
    return std::string(member->get_string());
}

std::optional<std::uint64_t> numberMember(const json::object &object, std::string_view name)
{
    const json::value *member = object.if_contains(name);
    if (member == nullptr || !member->is_number()) {
        return std::nullopt;
    }
    boost::system::error_code error;
    const std::uint64_t number = member->to_number<std::uint64_t>(error);
    return error ? std::nullopt : std::optional<std::uint64_t>(number);
}

std::optional<ClaimState> parseClaimState(std::string_view name)
{
    for (std::size_t index = 0; index < StateNames.size(); ++index) {
        if (StateNames[index] == name) {
            return static_cast<ClaimState>(index);
        }
    }
    return std::nullopt;
}

std::string formatDigest(std::uint64_t digest)
{
    std::array<char, HexBase> digits {};
    const std::to_chars_result end = std::to_chars(digits.data(), digits.data() + digits.size(), digest, HexBase);
    return std::string(digits.data(), end.ptr);
}

std::optional<std::uint64_t> parseDigest(std::string_view text)
{
    std::uint64_t digest = 0;
    const std::from_chars_result end = std::from_chars(text.data(), text.data() + text.size(), digest, HexBase);
    const bool isComplete = end.ec == std::errc() && end.ptr == text.data() + text.size();
    return isComplete ? std::optional<std::uint64_t>(digest) : std::nullopt;
}

/** True if the text is valid UTF-8; the table service accepts nothing else. */
bool isValidUtf8(std::string_view text)
{
    boost::system::error_code error;
    json::parse(json::serialize(json::string(text)), error);
    return !error;
}

void formatAnswer(const ClaimRow &row, json::object &object)
{
    object["status"] = row.answer.status;
    object["content_type"] = isValidUtf8(row.answer.contentType) ? row.answer.contentType : "application/octet-stream";
    if (row.bodyObject.empty()) {
        object["body"] = row.answer.body;
    } else {
        object["object"] = row.bodyObject;
    }
}

bool parseAnswer(const json::object &object, ClaimRow &row)
{
    const std::optional<std::uint64_t> status = numberMember(object, "status");
    const std::optional<std::string> contentType = stringMember(object, "content_type");
    const std::optional<std::string> body = stringMember(object, "body");
    const std::optional<std::string> name = stringMember(object, "object");
    if (!status || !contentType || body.has_value() == name.has_value()) {
        return false;
    }
    if (!isHttpStatus(*status) || isInformationalStatus(*status)) {
        return false;
    }
    row.answer = { static_cast<unsigned>(*status), *contentType, body.value_or("") };
    row.bodyObject = name.value_or("");
    return true;
}

} // namespace

std::string claimRowKey(const TeamName &team, const std::string &idempotencyKey)
{
    return "claim/" + escapedKeyPart(team.text()) + "/" + escapedKeyPart(idempotencyKey);
}

std::string formatClaimRow(const ClaimRow &row)
{
    json::object object { { "state", StateNames[static_cast<std::size_t>(row.state)] },
                          { "digest", formatDigest(row.bodyDigest) },
                          { "attempt", row.attempt.text() },
                          { "request", row.request.text() },
                          { "holder", row.holder.text() },
                          { "incarnation", row.incarnation.value() } };
    if (row.state == ClaimState::Answered) {
        formatAnswer(row, object);
    }
    return json::serialize(object);
}

std::optional<ClaimRow> parseClaimRow(std::string_view text)
{
    boost::system::error_code error;
    const json::value document = json::parse(text, error);
    const json::object *object = error ? nullptr : document.if_object();
    if (object == nullptr) {
        return std::nullopt;
    }
    const std::optional<ClaimState> state = parseClaimState(stringMember(*object, "state").value_or(""));
    const std::optional<std::uint64_t> digest = parseDigest(stringMember(*object, "digest").value_or(""));
    const std::optional<AttemptId> attempt = AttemptId::parse(stringMember(*object, "attempt").value_or(""));
    const std::optional<RequestId> request = RequestId::parse(stringMember(*object, "request").value_or(""));
    const std::optional<std::string> holder = stringMember(*object, "holder");
    const std::optional<std::uint64_t> incarnation = numberMember(*object, "incarnation");
    if (!state || !digest || !attempt || !request || !holder || !incarnation) {
        return std::nullopt;
    }
    ClaimRow row { *state, *digest, *attempt, *request, NodeName(*holder), Incarnation(*incarnation), {}, {} };
    if (row.state == ClaimState::Answered && !parseAnswer(*object, row)) {
        return std::nullopt;
    }
    return row;
}

bool fitsInRow(const RecordedAnswer &answer)
{
    return answer.body.size() <= MaxInlineBodyBytes && isValidUtf8(answer.body);
}

} // namespace GeraniumLever
