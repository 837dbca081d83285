@0xb1f0c4a7d2e93856;
# Remote interface of a node and the messages between nodes. Mirrors core/peer_messages.h field by field.
# The code in generated/ is made by:
#   capnp compile --src-prefix=drivers/mesh -oc++:drivers/mesh/generated drivers/mesh/node.capnp

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("GeraniumLever::Wire");

# Bootstrap capability of a node.
interface Node {
  # Fails if the key is not the one that all nodes of the installation share.
  authenticate @0 (node :Text, incarnation :UInt64, key :Data) -> (session :Session);
}

# Messages of one authenticated peer. Ends when the peer authenticates anew.
interface Session {
  deliver @0 (messages :List(Message));
}

struct UniqueId {
  origin @0 :UInt64;
  sequence @1 :UInt64;
}

struct OptionalDuration {
  union {
    absent @0 :Void;
    microseconds @1 :Int64;
  }
}

struct ShardKey {
  dataCenter @0 :Text;
  pool @1 :Text;
  index @2 :UInt32;
}

struct PoolSummary {
  pool @0 :Text;
  freeSeats @1 :UInt32;
  totalSeats @2 :UInt32;
  waitByTierMicroseconds @3 :List(Int64);
}

enum NodeState {
  starting @0;
  ready @1;
  leaving @2;
}

struct Heartbeat {
  node @0 :Text;
  incarnation @1 :UInt64;
  dataCenter @2 :Text;
  sequence @3 :UInt64;
  state @4 :NodeState;
  ticketHead @5 :UInt64;
  catalogDigest @6 :UInt64;
  storeEpoch @7 :UInt64;
  pools @8 :List(PoolSummary);
}

struct SlotRequest {
  request @0 :UniqueId;
  shard @1 :ShardKey;
  requestClass @2 :Text;
  team @3 :Text;
  timeLeftMicroseconds @4 :Int64;
  promptTokens @5 :UInt32;
  maxTokens @6 :UInt32;
  deliveredTokens @7 :UInt32;
  prefixHashes @8 :List(UInt64);
  excluded @9 :List(Text);
  retry @10 :Bool;
  resumesPaused @11 :Bool;
}

struct SlotGrant {
  request @0 :UniqueId;
  attempt @1 :UniqueId;
  upstream @2 :Text;
  shard @3 :ShardKey;
}

struct SlotRefusal {
  request @0 :UniqueId;
  shard @1 :ShardKey;
  code @2 :UInt16;
  retryAfterMicroseconds @3 :Int64;
}

struct SlotCancel {
  request @0 :UniqueId;
  shard @1 :ShardKey;
}

struct AttemptProgress {
  attempt @0 :UniqueId;
  shard @1 :ShardKey;
  upstream @2 :Text;
  firstToken @3 :OptionalDuration;
  tokens @4 :UInt32;
  readerSlow @5 :Bool;
}

enum AttemptEnding {
  completed @0;
  cancelled @1;
  paused @2;
  refused @3;
  lost @4;
  notSent @5;
}

struct AttemptEnd {
  attempt @0 :UniqueId;
  request @1 :UniqueId;
  shard @2 :ShardKey;
  upstream @3 :Text;
  ending @4 :AttemptEnding;
  firstToken @5 :OptionalDuration;
  tokens @6 :UInt32;
  wastedTokens @7 :UInt32;
  readerSlow @8 :Bool;
}

struct AttemptRegistration {
  attempt @0 :UniqueId;
  request @1 :UniqueId;
  shard @2 :ShardKey;
  upstream @3 :Text;
  requestClass @4 :Text;
  team @5 :Text;
  promptTokens @6 :UInt32;
  tokens @7 :UInt32;
  ageMicroseconds @8 :Int64;
}

struct AttemptPause {
  attempt @0 :UniqueId;
  request @1 :UniqueId;
}

struct LeavingNotice {
  upstream @0 :Text;
  leaving @1 :Bool;
}

struct TicketRecord {
  number @0 :UInt64;
  previous @1 :UInt64;
  epoch @2 :UInt64;
  text @3 :Text;
}

struct TicketBatch {
  tickets @0 :List(TicketRecord);
}

struct TicketFetch {
  after @0 :UInt64;
}

struct Snapshot {
  head @0 :UInt64;
  epoch @1 :UInt64;
  text @2 :Text;
}

struct ClaimQuery {
  claimKey @0 :Text;
  attempt @1 :UniqueId;
}

enum ClaimStanding {
  running @0;
  abandoned @1;
  finished @2;
  notKnown @3;
}

struct ClaimReply {
  claimKey @0 :Text;
  attempt @1 :UniqueId;
  standing @2 :ClaimStanding;
}

struct Message {
  union {
    heartbeat @0 :Heartbeat;
    slotRequest @1 :SlotRequest;
    slotGrant @2 :SlotGrant;
    slotRefusal @3 :SlotRefusal;
    slotCancel @4 :SlotCancel;
    attemptProgress @5 :AttemptProgress;
    attemptEnd @6 :AttemptEnd;
    attemptRegistration @7 :AttemptRegistration;
    attemptPause @8 :AttemptPause;
    leavingNotice @9 :LeavingNotice;
    ticketBatch @10 :TicketBatch;
    ticketFetch @11 :TicketFetch;
    snapshotFetch @12 :Void;
    snapshot @13 :Snapshot;
    claimQuery @14 :ClaimQuery;
    claimReply @15 :ClaimReply;
  }
}
