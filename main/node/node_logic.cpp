#include "main/node/node_logic.h"

#include <algorithm>
#include <set>
#include <utility>

namespace GeraniumLever {

namespace {

/** Time for what was accepted last to arrive. */
constexpr Duration LastArrivalGrace = std::chrono::milliseconds(500);

constexpr Duration OrderTickPeriod = std::chrono::milliseconds(200);

/** How long a new scheduler waits for an upstream's first report before it grants its seats. */
constexpr Duration FirstReportWait = std::chrono::milliseconds(1500);

std::uint64_t originOf(const NodeIdentity &identity)
{
    return originHash(identity.address.node, identity.incarnation);
}

} // namespace

NodeLogic::NodeLogic(NodeIdentity identity)
    : identity_(std::move(identity))
    , self_(identity_.address.node)
    , membership_(identity_.address, identity_.incarnation, identity_.seeds)
    , tickets_(self_, operations_, identity_.seed)
    , claims_(self_, identity_.incarnation, operations_)
    , scheduling_(self_, originOf(identity_), identity_.seed)
    , orders_(self_, identity_.incarnation, identity_.address.dataCenter, operations_)
    , ingress_(originOf(identity_), identity_.meshKey, claims_, membership_)
    , catalog_(tickets_.catalog())
{
}

void NodeLogic::handle(const Event &event, TimePoint now, Commands &commands)
{
    Commands produced;
    std::visit([this, now, &produced](const auto &value) { on(value, now, produced); }, event);
    route(std::move(produced), now, commands);
}

void NodeLogic::tick(TimePoint now, Commands &commands)
{
    Commands produced;
    refreshState(now, produced);
    SelfDescription description;
    const TicketStatus standing = tickets_.standing();
    description.state = state_;
    description.ticketHead = standing.head;
    description.catalogDigest = standing.digest;
    description.storeEpoch = standing.epoch;
    description.pools = ownSummaries(now);
    membership_.tick(description, now, produced);
    const std::vector<NodeName> lost = membership_.takeLostPeers();
    for (const NodeName &node : lost) {
        scheduling_.nodeLost(node, now, produced);
        claims_.nodeLost(node, now, produced);
    }
    if (membership_.takeReadyNodesChanged() || !lost.empty()) {
        refreshSeatShare();
        refreshWatched(now);
        ingress_.schedulersChanged(lost, now, produced);
    }
    tickets_.tick(membership_.isDelegate(), membership_.pushTargets(), now, produced);
    refreshCatalog(now);
    claims_.tick(now, produced);
    tickOrders(now, produced);
    scheduling_.tick(now, produced);
    ingress_.tick(now, produced);
    route(std::move(produced), now, commands);
}

void NodeLogic::route(Commands produced, TimePoint now, Commands &commands)
{
    std::deque<Command> pending(std::make_move_iterator(produced.begin()), std::make_move_iterator(produced.end()));
    for (;;) {
        Commands more;
        drainNotices(now, more);
        if (pending.empty() && more.empty()) {
            return;
        }
        if (!pending.empty()) {
            Command command = std::move(pending.front());
            pending.pop_front();
            const PeerSend *send = std::get_if<PeerSend>(&command);
            if (send != nullptr && send->to == self_) {
                on(PeerReceived { self_, send->message }, now, more);
            } else {
                commands.push_back(std::move(command));
            }
        }
        std::move(more.begin(), more.end(), std::back_inserter(pending));
    }
}

void NodeLogic::drainNotices(TimePoint now, Commands &produced)
{
    for (const ClaimNotice &notice : claims_.takeNotices()) {
        ingress_.claimNoticeReceived(notice, now, produced);
    }
    for (ClaimStatus &status : claims_.takeStatuses()) {
        const std::vector<RequestId>::iterator asked =
            std::find(operatorQuestions_.begin(), operatorQuestions_.end(), status.request);
        if (asked == operatorQuestions_.end()) {
            ingress_.claimStatusReceived(status, now, produced);
            continue;
        }
        operatorQuestions_.erase(asked);
        operatorStatuses_.push_back(std::move(status));
    }
}

void NodeLogic::askStatus(
    const RequestId &request, const TeamName &team, const std::string &key, TimePoint now, Commands &commands)
{
    Commands produced;
    operatorQuestions_.push_back(request);
    claims_.requestStatus(request, team, key, now, produced);
    route(std::move(produced), now, commands);
}

std::vector<ClaimStatus> NodeLogic::takeOperatorStatuses()
{
    return std::exchange(operatorStatuses_, {});
}

void NodeLogic::refreshWatched(TimePoint now)
{
    std::set<ShardKey> mine;
    watchedPools_.clear();
    for (const auto &[name, pool] : catalog_->pools()) {
        for (const ShardKey &shard : shardsOf(*catalog_, identity_.address.dataCenter, name)) {
            if (membership_.schedulerFor(shard).value_or(self_) == self_) {
                mine.insert(shard);
                watchedPools_.insert(name);
            }
        }
    }
    std::vector<UpstreamName> watched;
    for (const ShardKey &shard : mine) {
        const std::vector<UpstreamName> members = upstreamsOf(*catalog_, shard);
        watched.insert(watched.end(), members.begin(), members.end());
    }
    std::sort(watched.begin(), watched.end());
    for (const UpstreamName &name : watched) {
        if (!std::binary_search(watched_.begin(), watched_.end(), name)) {
            scheduling_.withholdGrantsUntilReport(name, now + FirstReportWait);
        }
    }
    watched_ = std::move(watched);
}

std::vector<PoolSummary> NodeLogic::ownSummaries(TimePoint now) const
{
    std::vector<PoolSummary> summaries = scheduling_.summaries(now);
    std::erase_if(summaries, [this](const PoolSummary &summary) { return watchedPools_.count(summary.pool) == 0; });
    return summaries;
}

void NodeLogic::refreshCatalog(TimePoint now)
{
    if (tickets_.catalog() == catalog_) {
        return;
    }
    catalog_ = tickets_.catalog();
    scheduling_.applyCatalog(catalog_, now);
    ingress_.applyCatalog(catalog_);
    orders_.applyCatalog(catalog_);
    refreshWatched(now);
    for (const auto &[name, upstream] : catalog_->upstreams()) {
        if (leaving_.isLeaving(name)) {
            scheduling_.upstreamLeaving(name, true, now);
        }
    }
}

void NodeLogic::refreshSeatShare()
{
    std::size_t known = 1;
    std::size_t reachable = 1;
    for (const auto &[name, peer] : membership_.peers()) {
        if (peer.address.dataCenter == identity_.address.dataCenter) {
            ++known;
            reachable += peer.alive ? 1 : 0;
        }
    }
    scheduling_.setSeatShare(reachable > 1 || known == 1 ? 1.0 : 1.0 / static_cast<double>(known));
}

void NodeLogic::tickOrders(TimePoint now, Commands &produced)
{
    if (now < nextOrderTick_) {
        return;
    }
    nextOrderTick_ = now + OrderTickPeriod;
    const InFlightLookup inFlightAt = [this](const UpstreamName &upstream) { return scheduling_.inFlightAt(upstream); };
    orders_.tick(now, watchedUpstreams(), inFlightAt, produced);
    for (const UpstreamHold &hold : orders_.takeHolds()) {
        scheduling_.upstreamHeld(hold.upstream, hold.held, now);
    }
}

void NodeLogic::refreshState(TimePoint now, Commands &commands)
{
    if (state_ == NodeState::Starting && tickets_.standing().caughtUp) {
        state_ = NodeState::Ready;
        membership_.announceNow();
        commands.emplace_back(Decision { "ready", { { "node", self_.text() } } });
    }
    if (state_ != NodeState::Leaving || stopReported_ || now < drainUntil_) {
        return;
    }
    if (inFlight() == 0 || now >= stopAt_) {
        stopReported_ = true;
        commands.emplace_back(
            Decision { "stopped", { { "node", self_.text() }, { "in_flight", std::to_string(inFlight()) } } });
        commands.emplace_back(StopCompleted {});
    }
}

void NodeLogic::noteLeaving(const std::optional<LeavingNotice> &notice,
                            bool tellPeers,
                            TimePoint now,
                            Commands &produced)
{
    if (!notice) {
        return;
    }
    scheduling_.upstreamLeaving(notice->upstream, notice->leaving, now);
    produced.emplace_back(
        Decision { notice->leaving ? "upstream_leaving" : "upstream_back",
                   { { "upstream", notice->upstream.text() }, { "own_word", tellPeers ? "true" : "false" } } });
    if (!tellPeers) {
        return;
    }
    for (const auto &[name, peer] : membership_.peers()) {
        if (peer.alive) {
            produced.emplace_back(PeerSend { name, *notice });
        }
    }
}

void NodeLogic::on(const CallerRequest &event, TimePoint now, Commands &produced)
{
    ingress_.callerRequested(event, now, produced);
}

void NodeLogic::on(const CallerGone &event, TimePoint now, Commands &produced)
{
    ingress_.callerGone(event, now, produced);
}

void NodeLogic::on(const CallerBacklog &event, TimePoint, Commands &produced)
{
    ingress_.callerBacklogged(event, produced);
}

void NodeLogic::on(const UpstreamHead &event, TimePoint now, Commands &produced)
{
    const std::optional<UpstreamName> upstream = event.leaving ? ingress_.upstreamOf(event.attempt) : std::nullopt;
    if (upstream) {
        noteLeaving(leaving_.announced(*upstream, now), true, now, produced);
    }
    ingress_.upstreamHead(event, now, produced);
}

void NodeLogic::on(const UpstreamData &event, TimePoint now, Commands &produced)
{
    ingress_.upstreamData(event, now, produced);
}

void NodeLogic::on(const UpstreamEnd &event, TimePoint now, Commands &produced)
{
    ingress_.upstreamEnded(event, now, produced);
}

void NodeLogic::on(const UpstreamFailure &event, TimePoint now, Commands &produced)
{
    ingress_.upstreamFailed(event, now, produced);
}

void NodeLogic::on(const ProbeResult &event, TimePoint now, Commands &produced)
{
    ingress_.probed(event, now, produced);
}

void NodeLogic::on(const LoadReport &event, TimePoint now, Commands &produced)
{
    scheduling_.loadReported(event, now);
    orders_.loadReported(event, now);
    noteLeaving(leaving_.reported(event, now), true, now, produced);
}

void NodeLogic::on(const CacheEvent &event, TimePoint now, Commands &)
{
    scheduling_.cacheChanged(event, now);
}

void NodeLogic::on(const VmList &event, TimePoint now, Commands &produced)
{
    membership_.vmListReceived(event, now);
    for (const LeavingNotice &notice : leaving_.listed(event, now)) {
        noteLeaving(notice, true, now, produced);
    }
}

void NodeLogic::on(const PeerReceived &event, TimePoint now, Commands &produced)
{
    std::visit([this, &event, now, &produced](const auto &message) { from(event.from, message, now, produced); },
               event.message);
}

void NodeLogic::on(const PeerLost &event, TimePoint now, Commands &)
{
    membership_.connectionLost(event.node, now);
}

void NodeLogic::on(const TicketSubmission &event, TimePoint now, Commands &produced)
{
    tickets_.submitted(event, now, produced);
}

void NodeLogic::on(const OrderResult &, TimePoint, Commands &) { }

void NodeLogic::on(const StoreResult &event, TimePoint now, Commands &produced)
{
    if (claims_.storeResultReceived(event, now, produced) || orders_.storeResultReceived(event, now, produced)) {
        return;
    }
    tickets_.storeResultReceived(event, now, produced);
    refreshCatalog(now);
}

void NodeLogic::on(const StopRequested &, TimePoint now, Commands &produced)
{
    if (state_ == NodeState::Leaving) {
        return;
    }
    state_ = NodeState::Leaving;
    stopAt_ = now + identity_.stopLimit;
    drainUntil_ = now + AcceptingAfterStop + LastArrivalGrace;
    membership_.announceNow();
    produced.emplace_back(
        Decision { "stopping", { { "node", self_.text() }, { "in_flight", std::to_string(inFlight()) } } });
}

void NodeLogic::from(const NodeName &, const Heartbeat &message, TimePoint now, Commands &produced)
{
    membership_.heartbeatReceived(message, now);
    tickets_.heartbeatReceived(message, now, produced);
}

void NodeLogic::from(const NodeName &node, const SlotRequest &message, TimePoint now, Commands &produced)
{
    scheduling_.slotRequested(node, message, now, produced);
}

void NodeLogic::from(const NodeName &node, const SlotGrant &message, TimePoint now, Commands &produced)
{
    ingress_.slotGranted(node, message, now, produced);
}

void NodeLogic::from(const NodeName &node, const SlotRefusal &message, TimePoint now, Commands &produced)
{
    ingress_.slotRefused(node, message, now, produced);
}

void NodeLogic::from(const NodeName &node, const SlotCancel &message, TimePoint now, Commands &produced)
{
    scheduling_.slotCancelled(node, message, now, produced);
}

void NodeLogic::from(const NodeName &node, const AttemptProgress &message, TimePoint now, Commands &)
{
    scheduling_.attemptProgressed(node, message, now);
}

void NodeLogic::from(const NodeName &node, const AttemptEnd &message, TimePoint now, Commands &produced)
{
    scheduling_.attemptEnded(node, message, now, produced);
}

void NodeLogic::from(const NodeName &node, const AttemptRegistration &message, TimePoint now, Commands &)
{
    scheduling_.attemptRegistered(node, message, now);
}

void NodeLogic::from(const NodeName &, const AttemptPause &message, TimePoint now, Commands &produced)
{
    ingress_.attemptPaused(message, now, produced);
}

void NodeLogic::from(const NodeName &, const LeavingNotice &message, TimePoint now, Commands &produced)
{
    noteLeaving(leaving_.told(message, now), false, now, produced);
}

void NodeLogic::from(const NodeName &node, const TicketBatch &message, TimePoint now, Commands &produced)
{
    tickets_.batchReceived(node, message, now, produced);
    refreshCatalog(now);
}

void NodeLogic::from(const NodeName &node, const TicketFetch &message, TimePoint, Commands &produced)
{
    tickets_.fetchReceived(node, message, produced);
}

void NodeLogic::from(const NodeName &node, const SnapshotFetch &, TimePoint, Commands &produced)
{
    tickets_.snapshotRequested(node, produced);
}

void NodeLogic::from(const NodeName &node, const Snapshot &message, TimePoint now, Commands &produced)
{
    tickets_.snapshotReceived(node, message, now, produced);
    refreshCatalog(now);
}

void NodeLogic::from(const NodeName &node, const ClaimQuery &message, TimePoint, Commands &produced)
{
    claims_.claimQueryReceived(node, message, produced);
}

void NodeLogic::from(const NodeName &node, const ClaimReply &message, TimePoint now, Commands &produced)
{
    claims_.claimReplyReceived(node, message, now, produced);
}

} // namespace GeraniumLever
