#include "core/percent_encoding.h"

namespace GeraniumLever {

std::string percentEncoded(std::string_view text)
{
    constexpr std::string_view Unreserved = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
    constexpr std::string_view Digits = "0123456789ABCDEF";
    constexpr unsigned HighShift = 4;
    constexpr unsigned LowMask = 15;
    std::string encoded;
    for (const char character : text) {
        if (Unreserved.find(character) != std::string_view::npos) {
            encoded += character;
            continue;
        }
        const unsigned byte = static_cast<unsigned char>(character);
        encoded += '%';
        encoded += Digits[byte >> HighShift];
        encoded += Digits[byte & LowMask];
    }
    return encoded;
}

} // namespace GeraniumLever
