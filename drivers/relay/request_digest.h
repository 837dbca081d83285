/** Fingerprint of a request. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

#include <openssl/evp.h>

#include "drivers/relay/relay_call.h"

namespace GeraniumLever {

/** Identifies requests that repeat each other: the same caller, target, prompt and body. The body is digested as it
 *  arrives. The caller's key is part of the digest, so no caller can make its request look like another caller's. */
class RequestDigest
{
public:
    RequestDigest();

    /** Adds the next bytes of the body. */
    void update(std::string_view body);

    /** Number of bytes of the body that have been added. */
    std::size_t bodyBytes() const { return bodyBytes_; }

    /** The fingerprint of the call, whose body has been added. To be called once. */
    std::uint64_t finish(const RelayCall &call);

private:
    void addField(std::string_view field);

    struct Deleter
    {
        void operator()(EVP_MD_CTX *context) const { EVP_MD_CTX_free(context); }
    };

    std::unique_ptr<EVP_MD_CTX, Deleter> context_;
    std::size_t bodyBytes_ = 0;
};

} // namespace GeraniumLever
