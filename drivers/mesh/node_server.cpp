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

/** Compares in constant time, wherever the keys differ and whatever their lengths are. */
bool isSameKey(const std::string &expected, capnp::Data::Reader given)
{
    KeyDigest left = digestOf(reinterpret_cast<const unsigned char *>(expected.data()), expected.size());
    KeyDigest right = digestOf(given.begin(), given.size());
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

/** Receives the messages of one authenticated connection. */
class SessionServer final : public Wire::Session::Server
{
public:
    SessionServer(NodeName peer, EventForwarder &eventForwarder, std::shared_ptr<bool> current)
        : peer_(std::move(peer)), eventForwarder_(eventForwarder), current_(std::move(current))
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
            eventForwarder_.post(PeerReceived { peer_, std::move(*message) });
        }
        return kj::READY_NOW;
    }

private:
    NodeName peer_;
    EventForwarder &eventForwarder_;
    std::shared_ptr<bool> current_;
};

} // namespace

NodeServer::NodeServer(const MeshSettings &settings, EventForwarder &eventForwarder)
    : settings_(settings), eventForwarder_(eventForwarder)
{
}

kj::Promise<void> NodeServer::authenticate(AuthenticateContext context)
{
    AuthenticateParams::Reader params = context.getParams();
    NodeName peer(std::string(params.getNode().begin(), params.getNode().size()));
    if (!isSameKey(settings_.sharedKey, params.getKey())) {
        LOG(WARNING) << "mesh: rejected a peer that identifies itself as " << peer.text() << ": wrong key";
        return KJ_EXCEPTION(FAILED, "wrong key");
    }
    std::shared_ptr<bool> current = std::make_shared<bool>(true);
    std::shared_ptr<bool> &slot = sessionFlags_[peer];
    if (slot) {
        *slot = false;
    }
    slot = current;
    context.getResults().setSession(kj::heap<SessionServer>(peer, eventForwarder_, current));
    return kj::READY_NOW;
}

} // namespace GeraniumLever
