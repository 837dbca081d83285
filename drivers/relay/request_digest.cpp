#include "drivers/relay/request_digest.h"

#include <array>
#include <cstring>

namespace GeraniumLever {

RequestDigest::RequestDigest() : context_(EVP_MD_CTX_new())
{
    EVP_DigestInit_ex(context_.get(), EVP_sha256(), nullptr);
}

void RequestDigest::update(std::string_view body)
{
    EVP_DigestUpdate(context_.get(), body.data(), body.size());
    bodyBytes_ += body.size();
}

void RequestDigest::addField(std::string_view field)
{
    const std::uint64_t size = field.size();
    EVP_DigestUpdate(context_.get(), &size, sizeof size);
    EVP_DigestUpdate(context_.get(), field.data(), field.size());
}

std::uint64_t RequestDigest::finish(const RelayCall &call)
{
    const RelayRequest &request = call.attributes;
    for (const std::string_view field : { std::string_view(request.key),
                                          std::string_view(call.method),
                                          std::string_view(request.host),
                                          std::string_view(call.target) }) {
        addField(field);
    }
    // The last part belongs to one request or session.
    for (std::size_t index = 0; index + 1 < request.prompt.parts.size(); ++index) {
        EVP_DigestUpdate(context_.get(), &request.prompt.parts[index].id, sizeof(std::uint64_t));
    }
    const std::uint64_t bodyBytes = bodyBytes_;
    EVP_DigestUpdate(context_.get(), &bodyBytes, sizeof bodyBytes);
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    EVP_DigestFinal_ex(context_.get(), digest.data(), nullptr);
    std::uint64_t fingerprint = 0;
    std::memcpy(&fingerprint, digest.data(), sizeof fingerprint);
    return fingerprint | RequestFingerprintBit;
}

} // namespace GeraniumLever
