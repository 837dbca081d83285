#include "drivers/http/key_hash.h"

#include <array>

#include <boost/beast/core/string.hpp>
#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace GeraniumLever {

std::string sha256Hex(std::string_view text)
{
    constexpr std::string_view HexDigits = "0123456789abcdef";
    constexpr unsigned BitsPerDigit = 4;
    constexpr unsigned LowDigit = 0xf;
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    std::string hex;
    hex.reserve(digest.size() * 2);
    for (const unsigned char byte : digest) {
        hex.push_back(HexDigits[byte >> BitsPerDigit]);
        hex.push_back(HexDigits[byte & LowDigit]);
    }
    return hex;
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string_view bearerKey(std::string_view authorization)
{
    constexpr std::string_view Scheme = "Bearer ";
    if (!boost::beast::iequals(authorization.substr(0, Scheme.size()), Scheme)) {
        return {};
    }
    return authorization.substr(Scheme.size());
}

} // namespace GeraniumLever
