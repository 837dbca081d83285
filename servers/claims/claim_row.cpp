#include "servers/claims/claim_row.h"

#include <array>
#include <charconv>

#include <boost/json.hpp>

namespace GeraniumLever {

namespace json = boost::json;

namespace {

constexpr std::array<std::string_view, 4> StateNames = { "claimed", "released", "answered", "unknown" };
constexpr int HexBase = 16;

bool isPlain(char c)
{
    return c > ' ' && c <= '~' && c != '/' && c != '%';
}

/** Keeps the bytes that a row key may hold as they are, so that keys of earlier versions stay the same. */
std::string escapedKeyPart(std::string_view text)
{
    constexpr std::string_view Digits = "0123456789ABCDEF";
    constexpr unsigned HighShift = 4;
    constexpr unsigned LowMask = 15;
    std::string encoded;
    for (const char c : text) {
        if (isPlain(c)) {
            encoded += c;
            continue;
        }
        const unsigned byte = static_cast<unsigned char>(c);
        encoded += '%';
        encoded += Digits[byte >> HighShift];
        encoded += Digits[byte & LowMask];
    }
    return encoded;
}

std::optional<std::string> textMember(const json::object &object, std::string_view name)
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
    boost::system::error_code fault;
    const std::uint64_t number = member->to_number<std::uint64_t>(fault);
    return fault ? std::nullopt : std::optional<std::uint64_t>(number);
}

std::optional<ClaimState> parseState(std::string_view name)
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
    const bool whole = end.ec == std::errc() && end.ptr == text.data() + text.size();
    return whole ? std::optional<std::uint64_t>(digest) : std::nullopt;
}

/** True if the table service accepts the text, which has to be UTF-8. */
bool isText(std::string_view text)
{
    boost::system::error_code fault;
    json::parse(json::serialize(json::string(text)), fault);
    return !fault;
}

void formatAnswer(const ClaimRow &row, json::object &object)
{
    object["status"] = row.answer.status;
    object["content_type"] = isText(row.answer.contentType) ? row.answer.contentType : "application/octet-stream";
    if (row.object.empty()) {
        object["body"] = row.answer.body;
    } else {
        object["object"] = row.object;
    }
}

bool parseAnswer(const json::object &object, ClaimRow &row)
{
    const std::optional<std::uint64_t> status = numberMember(object, "status");
    const std::optional<std::string> contentType = textMember(object, "content_type");
    const std::optional<std::string> body = textMember(object, "body");
    const std::optional<std::string> name = textMember(object, "object");
    if (!status || !contentType || body.has_value() == name.has_value()) {
        return false;
    }
    row.answer = { static_cast<unsigned>(*status), *contentType, body.value_or("") };
    row.object = name.value_or("");
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
    boost::system::error_code fault;
    const json::value document = json::parse(text, fault);
    const json::object *object = fault ? nullptr : document.if_object();
    if (object == nullptr) {
        return std::nullopt;
    }
    const std::optional<ClaimState> state = parseState(textMember(*object, "state").value_or(""));
    const std::optional<std::uint64_t> digest = parseDigest(textMember(*object, "digest").value_or(""));
    const std::optional<AttemptId> attempt = AttemptId::parse(textMember(*object, "attempt").value_or(""));
    const std::optional<RequestId> request = RequestId::parse(textMember(*object, "request").value_or(""));
    const std::optional<std::string> holder = textMember(*object, "holder");
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
    return answer.body.size() <= MaxInlineBodyBytes && isText(answer.body);
}

} // namespace GeraniumLever
