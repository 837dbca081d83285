#include "drivers/relay/request_digest.h"

#include <set>

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

RelayCall call()
{
    RelayCall call;
    call.attributes.key = "key";
    call.attributes.host = "a.example";
    call.attributes.prompt.parts = { { 1, 100 }, { 2, 100 }, { 3, 10 } };
    call.method = "POST";
    call.target = "/read/1?x=2";
    return call;
}

std::uint64_t fingerprintOf(const RelayCall &call, const std::string &body, std::size_t pieceBytes = 4096)
{
    RequestDigest digest;
    for (std::size_t position = 0; position < body.size(); position += pieceBytes) {
        digest.update(std::string_view(body).substr(position, pieceBytes));
    }
    return digest.finish(call);
}

TEST(RequestDigestTest, RepeatsHaveTheSameFingerprintHoweverTheirBodiesArrive)
{
    const std::string body(10'000, 'x');
    RelayCall repeat = call();
    repeat.attributes.callerId = "another";
    repeat.attributes.deadline = std::chrono::seconds(1);
    repeat.attributes.prompt.parts.back().id = 4;
    EXPECT_EQ(fingerprintOf(call(), body, 1), fingerprintOf(repeat, body, 3000));
    EXPECT_NE(fingerprintOf(call(), body) & RequestFingerprintBit, 0U);
}

TEST(RequestDigestTest, RequestsThatDifferHaveDifferentFingerprints)
{
    std::set<std::uint64_t> fingerprints { fingerprintOf(call(), "body"),
                                           fingerprintOf(call(), "bodY"),
                                           fingerprintOf(call(), "") };
    RelayCall other = call();
    other.attributes.key = "other";
    fingerprints.insert(fingerprintOf(other, "body"));
    other = call();
    other.target = "/read/2?x=2";
    fingerprints.insert(fingerprintOf(other, "body"));
    other = call();
    other.method = "GET";
    fingerprints.insert(fingerprintOf(other, "body"));
    other = call();
    other.attributes.host = "b.example";
    fingerprints.insert(fingerprintOf(other, "body"));
    other = call();
    other.attributes.prompt.parts[1].id = 9;
    fingerprints.insert(fingerprintOf(other, "body"));
    other = call();
    other.attributes.key = "";
    other.attributes.host = "keya.example";
    fingerprints.insert(fingerprintOf(other, "body"));
    EXPECT_EQ(fingerprints.size(), 9U);
}

} // namespace
} // namespace GeraniumLever
