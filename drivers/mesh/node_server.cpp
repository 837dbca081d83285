#include "drivers/mesh/node_server.h"

#include <array>
#include <utility>

#include <glog/logging.h>
#include <kj/debug.h>
#include <openssl/crypto.h>
#include <openssl/sha.h>

#include "drivers/mesh/message_codec.h"

namespace GeraniumLever {

namespace {

using KeyDigest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

KeyDigest digestOf(const unsigned char *key, std::size_t size)
{
    KeyDigest digest;
    SHA256(key, size, digest.data());
    return digest;
}

/** Takes the same time wherever the keys differ, and whatever their lengths are. */
bool sameKey(const std::string &expected, capnp::Data::Reader given)
{
    KeyDigest left = digestOf(reinterpret_cast<const unsigned char *>(expected.data()), expected.size());
    KeyDigest right = digestOf(given.begin(), given.size());
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

/** Messages of one authenticated connection. */
class SessionServer final : public Wire::Session::Server
{
public:
    SessionServer(NodeName peer, EventRelay &relay, std::shared_ptr<bool> current)
        : peer_(std::move(peer)), relay_(relay), current_(std::move(current))
    {
    }

    kj::Promise<void> deliver(DeliverContext context) override
    {
        if (!*current_) {
            return KJ_EXCEPTION(DISCONNECTED, "the peer has authenticated on a newer connection");
        }
        for (Wire::Message::Reader reader : context.getParams().getMessages()) {
            std::optional<PeerMessage> message = readMessage(reader);
            if (!message) {
                LOG(WARNING) << "mesh: dropped a message of an unknown kind from " << peer_.text();
                continue;
            }
            relay_.post(PeerReceived { peer_, std::move(*message) });
        }
        return kj::READY_NOW;
    }

private:
    NodeName peer_;
    EventRelay &relay_;
    std::shared_ptr<bool> current_;
};

} // namespace

NodeServer::NodeServer(const MeshSettings &settings, EventRelay &relay) : settings_(settings), relay_(relay) { }

kj::Promise<void> NodeServer::authenticate(AuthenticateContext context)
{
    AuthenticateParams::Reader params = context.getParams();
    NodeName peer(std::string(params.getNode().begin(), params.getNode().size()));
    if (!sameKey(settings_.sharedKey, params.getKey())) {
        LOG(WARNING) << "mesh: refused a peer that calls itself " << peer.text() << ": wrong key";
        return KJ_EXCEPTION(FAILED, "wrong key");
    }
    std::shared_ptr<bool> current = std::make_shared<bool>(true);
    std::shared_ptr<bool> &slot = current_[peer];
    if (slot) {
        *slot = false;
    }
    slot = current;
    context.getResults().setSession(kj::heap<SessionServer>(peer, relay_, current));
    return kj::READY_NOW;
}

} // namespace GeraniumLever
