#include "drivers/mesh/peer_connection.h"

#include <algorithm>
#include <utility>

#include <glog/logging.h>
#include <kj/debug.h>

#include "drivers/mesh/message_codec.h"

namespace GeraniumLever {

namespace {

constexpr Duration InitialReconnectBackoff = std::chrono::milliseconds(50);
constexpr Duration MaxReconnectBackoff = std::chrono::seconds(1);
/** Relative jitter, so that nodes do not all reconnect to a restarted peer at the same moment. */
constexpr double ReconnectBackoffJitter = 0.2;
constexpr std::size_t MaxQueuedMessages = 16384;
/** Maximum number of messages in one deliver() call. */
constexpr std::size_t MaxBatchMessages = 256;

kj::Duration toKj(Duration duration)
{
    return duration.count() * kj::MICROSECONDS;
}

/** Messages with ticket texts can be large. Each ends its batch, so that the batch stays below the size limit of
 *  Cap'n Proto's reader. */
bool endsBatch(const PeerMessage &message)
{
    return std::holds_alternative<TicketBatch>(message) || std::holds_alternative<Snapshot>(message);
}

} // namespace

PeerConnection::PeerConnection(
    MeshPeer peer, const MeshSettings &settings, kj::Network &network, kj::Timer &timer, EventForwarder &eventForwarder)
    : peer_(std::move(peer))
    , settings_(settings)
    , network_(network)
    , timer_(timer)
    , eventForwarder_(eventForwarder)
    , random_(originHash(settings.node, settings.incarnation) ^ originHash(peer_.node, Incarnation()))
    , backoff_(InitialReconnectBackoff)
    , running_(nullptr)
{
    running_ = run().eagerlyEvaluate(nullptr);
}

void PeerConnection::send(PeerMessage message)
{
    if (phase_ == Phase::Backoff) {
        eventForwarder_.post(PeerLost { peer_.node });
        return;
    }
    if (queue_.size() >= MaxQueuedMessages) {
        overflow_->reject(KJ_EXCEPTION(OVERLOADED, "send queue of the peer is full"));
        return;
    }
    queue_.push_back(std::move(message));
    if (queueFilled_.get() != nullptr) {
        queueFilled_->fulfill();
        queueFilled_ = nullptr;
    }
}

kj::Promise<void> PeerConnection::run()
{
    return runConnection()
        .then([]() {},
              [this](kj::Exception &&exception) {
                  LOG(INFO) << "mesh: connection to " << peer_.node.text() << " at " << peer_.address
                            << " ended: " << exception.getDescription().cStr();
              })
        .then([this]() {
            closeConnection();
            return timer_.afterDelay(nextBackoffDelay());
        })
        .then([this]() { return run(); });
}

kj::Promise<void> PeerConnection::runConnection()
{
    phase_ = Phase::Connecting;
    kj::PromiseFulfillerPair<void> overflow = kj::newPromiseAndFulfiller<void>();
    overflow_ = kj::mv(overflow.fulfiller);
    return timer_.timeoutAfter(toKj(settings_.peerTimeout), authenticate())
        .then([this]() {
            phase_ = Phase::Connected;
            backoff_ = InitialReconnectBackoff;
            return client_->onDisconnect().exclusiveJoin(pump());
        })
        .exclusiveJoin(kj::mv(overflow.promise));
}

kj::Promise<void> PeerConnection::authenticate()
{
    return network_.parseAddress(peer_.address)
        .then([](kj::Own<kj::NetworkAddress> &&address) {
            kj::Promise<kj::Own<kj::AsyncIoStream>> connecting = address->connect();
            return connecting.attach(kj::mv(address));
        })
        .then([this](kj::Own<kj::AsyncIoStream> &&stream) {
            stream_ = kj::mv(stream);
            client_ = kj::heap<capnp::TwoPartyClient>(*stream_);
            Wire::Node::Client node = client_->bootstrap().castAs<Wire::Node>();
            capnp::Request<Wire::Node::AuthenticateParams, Wire::Node::AuthenticateResults> request =
                node.authenticateRequest();
            request.setNode(settings_.node.text());
            request.setIncarnation(settings_.incarnation.value());
            request.setKey(kj::arrayPtr(reinterpret_cast<const kj::byte *>(settings_.sharedKey.data()),
                                        settings_.sharedKey.size()));
            return request.send();
        })
        .then(
            [this](capnp::Response<Wire::Node::AuthenticateResults> &&response) { session_ = response.getSession(); });
}

kj::Promise<void> PeerConnection::pump()
{
    if (!queue_.empty()) {
        return deliverBatch().then([this]() { return pump(); });
    }
    kj::PromiseFulfillerPair<void> filled = kj::newPromiseAndFulfiller<void>();
    queueFilled_ = kj::mv(filled.fulfiller);
    return filled.promise.then([this]() { return pump(); });
}

kj::Promise<void> PeerConnection::deliverBatch()
{
    std::size_t size = 0;
    bool full = false;
    while (!full && size < queue_.size()) {
        full = endsBatch(queue_[size]) || size + 1 == MaxBatchMessages;
        ++size;
    }
    capnp::Request<Wire::Session::DeliverParams, Wire::Session::DeliverResults> request = session_.deliverRequest();
    capnp::List<Wire::Message>::Builder messages = request.initMessages(size);
    for (std::size_t index = 0; index < size; ++index) {
        writeMessage(queue_.front(), messages[index]);
        queue_.pop_front();
    }
    return timer_.timeoutAfter(toKj(settings_.peerTimeout), request.send().ignoreResult());
}

void PeerConnection::closeConnection()
{
    phase_ = Phase::Backoff;
    queue_.clear();
    queueFilled_ = nullptr;
    session_ = nullptr;
    client_ = nullptr;
    stream_ = nullptr;
    eventForwarder_.post(PeerLost { peer_.node });
}

kj::Duration PeerConnection::nextBackoffDelay()
{
    Duration delay = std::min(random_.jittered(backoff_, ReconnectBackoffJitter), MaxReconnectBackoff);
    backoff_ = std::min(backoff_ * 2, MaxReconnectBackoff);
    return toKj(delay);
}

} // namespace GeraniumLever
