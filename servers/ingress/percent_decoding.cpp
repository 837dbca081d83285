#include "servers/ingress/percent_decoding.h"

namespace GeraniumLever {

namespace {

constexpr int HexBase = 16;
constexpr int DecimalDigits = 10;
constexpr int LowerCaseBit = 0x20;

/** The value of a hexadecimal digit; -1 for any other character. */
int hexDigit(char digit)
{
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    const char lower = static_cast<char>(digit | LowerCaseBit);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + DecimalDigits : -1;
}

} // namespace

std::string percentDecoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool escape =
            text[i] == '%' && i + 2 < text.size() && hexDigit(text[i + 1]) >= 0 && hexDigit(text[i + 2]) >= 0;
        if (!escape) {
            decoded += text[i];
            continue;
        }
        decoded += static_cast<char>(hexDigit(text[i + 1]) * HexBase + hexDigit(text[i + 2]));
        i += 2;
    }
    return decoded;
}

} // namespace GeraniumLever
