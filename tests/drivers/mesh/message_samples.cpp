#include "tests/drivers/mesh/message_samples.h"

namespace GeraniumLever {

std::vector<PeerMessage> messageSamples()
{
    using namespace std::chrono_literals;
    ShardKey shard { DataCenterName("caerdydd-a"), PoolName("letters"), 3 };
    RequestId request(11, 12);
    AttemptId attempt(13, 0xffffffffffffffffULL);
    UpstreamName upstream("engine-7");
    PoolSummary summary { shard.pool, 4, 9, { 0us, 1500us, 30s } };
    return {
        Heartbeat { NodeName("n1"),
                    Incarnation(5),
                    shard.dataCenter,
                    77,
                    NodeState::Leaving,
                    TicketNumber(8),
                    0x8000000000000001ULL,
                    StoreEpoch(9),
                    { summary, PoolSummary {} } },
        SlotRequest { request,
                      shard,
                      ClassName("live"),
                      TeamName("t\xc3\xae"
                               "m"),
                      2500ms,
                      1000,
                      200,
                      17,
                      { 1, 0xfedcba9876543210ULL },
                      { upstream, UpstreamName("engine-8") },
                      true,
                      true },
        SlotGrant { request, attempt, upstream, shard },
        SlotRefusal { request, shard, ResultCode::TeamLimit, 1s },
        SlotCancel { request, shard },
        AttemptProgress { attempt, shard, upstream, 880ms, 5, true },
        AttemptProgress { attempt, shard, upstream, std::nullopt, 0, false },
        AttemptEnd { attempt, request, shard, upstream, AttemptEnding::NotSent, 0us, 21, 20, true },
        AttemptRegistration { attempt, request, shard, upstream, ClassName("bulk"), TeamName("team"), 30, 31, 32s },
        AttemptPause { attempt, request },
        LeavingNotice { upstream, true },
        LeavingNotice { upstream, false },
        TicketBatch { { TicketRecord { TicketNumber(2), TicketNumber(1), StoreEpoch(9), "number: 2\n" },
                        TicketRecord { TicketNumber(4), TicketNumber(2), StoreEpoch(9), std::string("a\0b", 3) } } },
        TicketFetch { TicketNumber(4) },
        SnapshotFetch {},
        Snapshot { TicketNumber(4), StoreEpoch(9), std::string(100000, 'x') },
        ClaimQuery { "team/key", attempt },
        ClaimReply { "team/key", attempt, ClaimStanding::NotKnown },
    };
}

} // namespace GeraniumLever
