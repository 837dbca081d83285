#include "core/unique_id.h"

#include <charconv>
#include <cstdio>

#include <xxhash.h>

namespace GeraniumLever {

namespace {

constexpr std::size_t OriginDigits = 16;
constexpr int HexBase = 16;

bool parseHex(std::string_view text, std::uint64_t &value)
{
    if (text.empty()) {
        return false;
    }
    const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), value, HexBase);
    return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
}

} // namespace

std::uint64_t originHash(const NodeName &node, Incarnation incarnation)
{
    return XXH64(node.text().data(), node.text().size(), incarnation.value());
}

std::string formatUniqueId(std::uint64_t origin, std::uint64_t sequence)
{
    char buffer[2 * OriginDigits + 2];
    const int length = std::snprintf(buffer,
                                     sizeof buffer,
                                     "%016llx-%llx",
                                     static_cast<unsigned long long>(origin),
                                     static_cast<unsigned long long>(sequence));
    return std::string(buffer, static_cast<std::size_t>(length));
}

bool parseUniqueId(std::string_view text, std::uint64_t &origin, std::uint64_t &sequence)
{
    if (text.size() < OriginDigits + 2 || text[OriginDigits] != '-') {
        return false;
    }
    return parseHex(text.substr(0, OriginDigits), origin) && parseHex(text.substr(OriginDigits + 1), sequence);
}

} // namespace GeraniumLever
