#include "tests/servers/ingress/ingress_fixture.h"

namespace GeraniumLever {

namespace {

CatalogPtr makeCatalog()
{
    RequestClass live;
    live.name = ClassName("live");
    RequestClass payment;
    payment.name = ClassName("payment");
    payment.idempotent = false;
    Team team;
    team.name = TeamName("team");
    team.keyHashes = { "hash" };
    Pool engines;
    engines.name = PoolName("engines");
    engines.model = ModelName("m");
    Pool desk;
    desk.name = PoolName("desk");
    desk.service = "desk";
    std::vector<EntityChange> changes { live, payment, team, engines, desk };
    for (const std::string name : { "e1", "e2", "d1" }) {
        Upstream upstream;
        upstream.name = UpstreamName(name);
        upstream.pool = name == "d1" ? desk.name : engines.name;
        upstream.dataCenter = DataCenterName("dc");
        upstream.address = "127.0.0.1:1";
        changes.push_back(upstream);
    }
    return std::make_shared<const Catalog>(Catalog().withChanges(changes, TicketNumber(1)));
}

} // namespace

IngressFixture::IngressFixture()
    : claims_(self_, Incarnation(1), operations_)
    , membership_({ self_, DataCenterName("dc"), "", "" }, Incarnation(1), {})
    , ingress_(7, "mesh-key", claims_, membership_)
{
    ingress_.applyCatalog(makeCatalog());
}

RequestId IngressFixture::send(const std::string &requestClass,
                               const std::string &target,
                               const std::string &body,
                               const std::string &key)
{
    CallerRequest call;
    call.request = RequestId(7, ++lastRequest_);
    call.method = "POST";
    call.target = target;
    call.keyHash = "hash";
    call.requestClass = ClassName(requestClass);
    call.idempotencyKey = key;
    call.body = body;
    ingress_.callerRequested(call, clock_.now(), commands_);
    drainClaims();
    return call.request;
}

RequestId IngressFixture::sendChat(const std::string &requestClass)
{
    return send(requestClass,
                "/v1/chat/completions",
                R"({"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]})");
}

AttemptId IngressFixture::grant(const RequestId &request, const std::string &upstream)
{
    SlotGrant grant;
    grant.request = request;
    grant.attempt = AttemptId(9, ++lastAttempt_);
    grant.upstream = UpstreamName(upstream);
    grant.shard = { DataCenterName("dc"), PoolName(upstream == "d1" ? "desk" : "engines"), 0 };
    ingress_.slotGranted(self_, grant, clock_.now(), commands_);
    drainClaims();
    return grant.attempt;
}

void IngressFixture::head(const AttemptId &attempt, unsigned status, const std::string &echoed)
{
    UpstreamHead head;
    head.attempt = attempt;
    head.status = status;
    head.contentType = "text/event-stream";
    head.echoedAttempt = echoed;
    ingress_.upstreamHead(head, clock_.now(), commands_);
}

void IngressFixture::token(const AttemptId &attempt, const std::string &text)
{
    const std::string data =
        R"({"id":"a","choices":[{"index":0,"delta":{"content":")" + text + R"("},"finish_reason":null}]})";
    ingress_.upstreamData({ attempt, data }, clock_.now(), commands_);
}

void IngressFixture::finishStream(const AttemptId &attempt)
{
    const std::string data = R"({"id":"a","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]})";
    ingress_.upstreamData({ attempt, data }, clock_.now(), commands_);
    ingress_.upstreamData({ attempt, "[DONE]" }, clock_.now(), commands_);
}

void IngressFixture::answerStore()
{
    clock_.advance(std::chrono::milliseconds(10));
    claims_.tick(clock_.now(), commands_);
    while (answered_ < commands_.size()) {
        const Command command = commands_[answered_++];
        StoreResult result;
        result.status = StoreStatus::Done;
        if (const TableGet *get = std::get_if<TableGet>(&command)) {
            result.operation = get->operation;
        } else if (const TableTransaction *transaction = std::get_if<TableTransaction>(&command)) {
            result.operation = transaction->operation;
        } else {
            continue;
        }
        claims_.storeResultReceived(result, clock_.now(), commands_);
        drainClaims();
    }
}

void IngressFixture::drainClaims()
{
    for (const ClaimNotice &notice : claims_.takeNotices()) {
        ingress_.claimNoticeReceived(notice, clock_.now(), commands_);
    }
}

std::string IngressFixture::repliedData() const
{
    std::string joined;
    for (const ReplyData &data : all<ReplyData>()) {
        joined += (joined.empty() ? "" : "|") + data.data;
    }
    return joined;
}

} // namespace GeraniumLever
