#include "drivers/mesh/peer_connection.h"

#include <algorithm>
#include <utility>

#include <glog/logging.h>
#include <kj/debug.h>

#include "drivers/mesh/message_codec.h"

namespace GeraniumLever {

namespace {

constexpr Duration FirstPause = std::chrono::milliseconds(50);
constexpr Duration LongestPause = std::chrono::seconds(1);
/** Spread of the pause, so that nodes do not all return to a restarted peer at the same moment. */
constexpr double PauseSpread = 0.2;
/** Most messages that wait for one peer. */
constexpr std::size_t MaxQueuedMessages = 16384;
/** Most messages of one delivery. */
constexpr std::size_t MaxBatchMessages = 256;

kj::Duration toKj(Duration duration)
{
    return duration.count() * kj::MICROSECONDS;
}

/** Messages that carry ticket texts can be large; a batch ends with one, so that it stays below the reader's limit. */
bool endsBatch(const PeerMessage &message)
{
    return std::holds_alternative<TicketBatch>(message) || std::holds_alternative<Snapshot>(message);
}

} // namespace

PeerConnection::PeerConnection(
    MeshPeer peer, const MeshSettings &settings, kj::Network &network, kj::Timer &timer, EventRelay &relay)
    : peer_(std::move(peer))
    , settings_(settings)
    , network_(network)
    , timer_(timer)
    , relay_(relay)
    , random_(originHash(settings.node, settings.incarnation) ^ originHash(peer_.node, Incarnation()))
    , pause_(FirstPause)
    , running_(nullptr)
{
    running_ = run().eagerlyEvaluate(nullptr);
}

void PeerConnection::send(PeerMessage message)
{
    if (phase_ == Phase::Pausing) {
        relay_.post(PeerLost { peer_.node });
        return;
    }
    if (queue_.size() >= MaxQueuedMessages) {
        overflow_->reject(KJ_EXCEPTION(OVERLOADED, "too many messages wait for the peer"));
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
    return serve()
        .then([]() {},
              [this](kj::Exception &&exception) {
                  LOG(INFO) << "mesh: connection to " << peer_.node.text() << " at " << peer_.address
                            << " ended: " << exception.getDescription().cStr();
              })
        .then([this]() {
            drop();
            return timer_.afterDelay(nextPause());
        })
        .then([this]() { return run(); });
}

kj::Promise<void> PeerConnection::serve()
{
    phase_ = Phase::Connecting;
    kj::PromiseFulfillerPair<void> overflow = kj::newPromiseAndFulfiller<void>();
    overflow_ = kj::mv(overflow.fulfiller);
    return timer_.timeoutAfter(toKj(settings_.answerLimit), authenticate())
        .then([this]() {
            phase_ = Phase::Connected;
            pause_ = FirstPause;
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
    return timer_.timeoutAfter(toKj(settings_.answerLimit), request.send().ignoreResult());
}

void PeerConnection::drop()
{
    phase_ = Phase::Pausing;
    queue_.clear();
    queueFilled_ = nullptr;
    session_ = nullptr;
    client_ = nullptr;
    stream_ = nullptr;
    relay_.post(PeerLost { peer_.node });
}

kj::Duration PeerConnection::nextPause()
{
    Duration pause = std::min(random_.jittered(pause_, PauseSpread), LongestPause);
    pause_ = std::min(pause_ * 2, LongestPause);
    return toKj(pause);
}

} // namespace GeraniumLever
