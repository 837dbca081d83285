#include "servers/tickets/ticket_rows.h"

#include <charconv>
#include <cstdint>
#include <cstdio>
#include <string_view>
#include <utility>

namespace GeraniumLever {

namespace {

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

/** Parses two numbers separated by a blank. */
std::optional<std::pair<std::uint64_t, std::uint64_t>> parsePair(std::string_view text)
{
    const std::size_t blank = text.find(' ');
    if (blank == std::string_view::npos) {
        return std::nullopt;
    }
    const std::optional<std::uint64_t> first = parseNumber(text.substr(0, blank));
    const std::optional<std::uint64_t> second = parseNumber(text.substr(blank + 1));
    if (!first.has_value() || !second.has_value()) {
        return std::nullopt;
    }
    return std::pair(*first, *second);
}

std::string joinPair(std::uint64_t first, std::uint64_t second)
{
    return std::to_string(first) + " " + std::to_string(second);
}

} // namespace

std::string ticketKey(TicketNumber number)
{
    char digits[24];
    std::snprintf(digits, sizeof digits, "%020llu", static_cast<unsigned long long>(number.value()));
    return std::string(TicketKeyPrefix) + digits;
}

std::string encodeHead(const HeadRow &head)
{
    return joinPair(head.head.value(), head.epoch.value());
}

std::optional<HeadRow> decodeHead(const std::string &value)
{
    const std::optional<std::pair<std::uint64_t, std::uint64_t>> numbers = parsePair(value);
    if (!numbers.has_value()) {
        return std::nullopt;
    }
    return HeadRow { TicketNumber(numbers->first), StoreEpoch(numbers->second) };
}

std::string encodeRecord(const TicketRecord &record)
{
    return joinPair(record.previous.value(), record.epoch.value()) + "\n" + record.text;
}

std::optional<TicketRecord> decodeRecord(const TableRow &row)
{
    const std::size_t lineEnd = row.value.find('\n');
    if (row.key.rfind(TicketKeyPrefix, 0) != 0 || lineEnd == std::string::npos) {
        return std::nullopt;
    }
    const std::optional<std::uint64_t> number =
        parseNumber(std::string_view(row.key).substr(std::string_view(TicketKeyPrefix).size()));
    const std::optional<std::pair<std::uint64_t, std::uint64_t>> header =
        parsePair(std::string_view(row.value).substr(0, lineEnd));
    if (!number.has_value() || !header.has_value()) {
        return std::nullopt;
    }
    return TicketRecord {
        TicketNumber(*number), TicketNumber(header->first), StoreEpoch(header->second), row.value.substr(lineEnd + 1)
    };
}

std::string encodeSnapshot(const Snapshot &snapshot)
{
    return joinPair(snapshot.head.value(), snapshot.epoch.value()) + "\n" + snapshot.text;
}

std::optional<Snapshot> decodeSnapshot(const std::string &content)
{
    const std::size_t lineEnd = content.find('\n');
    if (lineEnd == std::string::npos) {
        return std::nullopt;
    }
    const std::optional<std::pair<std::uint64_t, std::uint64_t>> header =
        parsePair(std::string_view(content).substr(0, lineEnd));
    if (!header.has_value()) {
        return std::nullopt;
    }
    return Snapshot { TicketNumber(header->first), StoreEpoch(header->second), content.substr(lineEnd + 1) };
}

} // namespace GeraniumLever
