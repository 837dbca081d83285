#include "servers/yaml/text_checks.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace GeraniumLever {

namespace {

bool isDigit(char character)
{
    return character >= '0' && character <= '9';
}

bool isNameCharacter(char character)
{
    const bool letter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    return letter || isDigit(character) || std::string_view("._-:/").find(character) != std::string_view::npos;
}

/** Parses an unsigned decimal number at the start of the text and removes it from the text. */
bool consumeNumber(std::string_view &text, unsigned maximum, unsigned &value)
{
    if (text.empty() || !isDigit(text.front())) {
        return false;
    }
    const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc() || value > maximum) {
        return false;
    }
    text.remove_prefix(static_cast<std::size_t>(parsed.ptr - text.data()));
    return true;
}

bool consumeCharacter(std::string_view &text, char expected)
{
    if (text.empty() || text.front() != expected) {
        return false;
    }
    text.remove_prefix(1);
    return true;
}

} // namespace

bool isName(const std::string &text)
{
    return !text.empty() && text.size() <= MaxNameBytes && std::all_of(text.begin(), text.end(), isNameCharacter);
}

bool isSha256Hex(const std::string &text)
{
    constexpr std::size_t Digits = 64;
    return text.size() == Digits && std::all_of(text.begin(), text.end(), [](char character) {
               return isDigit(character) || (character >= 'a' && character <= 'f');
           });
}

bool isSocketAddress(const std::string &text)
{
    constexpr int Octets = 4;
    constexpr unsigned MaxOctet = 255;
    constexpr unsigned MaxPort = 65535;
    std::string_view rest = text;
    unsigned value = 0;
    for (int octet = 0; octet < Octets; ++octet) {
        if (!consumeNumber(rest, MaxOctet, value) || !consumeCharacter(rest, octet + 1 < Octets ? '.' : ':')) {
            return false;
        }
    }
    return consumeNumber(rest, MaxPort, value) && value > 0 && rest.empty();
}

} // namespace GeraniumLever
