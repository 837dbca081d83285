@0xc7d1b2a94e8f3065;
# Datagrams between relays. Mirrors the reports of servers/relay field by field; times are microseconds.
# The code in generated/ is made by:
#   capnp compile --src-prefix=drivers/peers -oc++:drivers/peers/generated drivers/peers/peers.capnp

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("GeraniumLever::PeerWire");

struct Datagram {
  union {
    report @0 :PeerReport;
    work @1 :WorkReport;
    totals @2 :WorkTotals;
    streamRecord @3 :StreamRecord;
    streamQuery @4 :StreamQuery;
    streamReply @5 :StreamReply;
    crashes @6 :CrashReport;
    limits @7 :LimitReport;
    origins @8 :OriginReport;
  }
}

struct UpstreamWork {
  upstream @0 :UInt32;
  requests @1 :UInt32;
  tokens @2 :UInt32;
  unreadTokens @3 :UInt32;
  waiting @4 :UInt32;
}

struct PauseDemand {
  pauseMilliseconds @0 :UInt32;
  work @1 :UInt64;
}

struct WorkAccount {
  upstreams @0 :List(UpstreamWork);
  demands @1 :List(PauseDemand);
}

struct WorkReport {
  node @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  collected @3 :Bool;
  work @4 :WorkAccount;
}

struct WorkTotals {
  collector @0 :Text;
  sequence @1 :UInt64;
  others @2 :WorkAccount;
  storedOrigins @3 :UInt64;
}

struct PeerReport {
  node @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  configuration @3 :UInt64;
  configurationAge @4 :Int64;
  sentAt @5 :Int64;
  sentAfter @6 :Int64;
  configurationDigest @7 :UInt64;
  storeEra @8 :UInt64;
  storeEraAge @9 :Int64;
  storeFirstVersion @10 :UInt64;
  listsReceiver @11 :Bool = true;
}

struct StreamOrigin {
  pool @0 :Text;
  version @1 :Text;
}

struct StreamRecord {
  node @0 :Text;
  stream @1 :Text;
  origin @2 :StreamOrigin;
  lifetime @3 :Int64;
}

struct StreamQuery {
  node @0 :Text;
  stream @1 :Text;
}

struct StreamReply {
  node @0 :Text;
  stream @1 :Text;
  # Null if the sender does not know the origin.
  origin @2 :StreamOrigin;
}

struct OriginStreams {
  origin @0 :StreamOrigin;
  streams @1 :List(UInt64);
}

struct OriginReport {
  node @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  lifetime @3 :Int64;
  streams @4 :List(OriginStreams);
}

struct SuspectedCrash {
  upstream @0 :UInt64;
  age @1 :Int64;
  sentAge @2 :Int64;
  # 0 if none is known.
  culprit @3 :UInt64;
}

struct SuspectReport {
  part @0 :UInt64;
  depth @1 :UInt32;
  hadAnswers @2 :Bool;
  crashes @3 :List(SuspectedCrash);
  # Negative if the sender knows of no such time.
  clearedAge @4 :Int64;
  trialAge @5 :Int64;
}

struct CrashReport {
  node @0 :Text;
  suspects @1 :List(SuspectReport);
}

struct LimitStatement {
  upstream @0 :Text;
  # Negative if the upstream does not limit its requests.
  rate @1 :Float64;
  # On the store's clock.
  sentAt @2 :Int64;
  heardAt @3 :Int64;
}

struct LimitReport {
  node @0 :Text;
  statements @1 :List(LimitStatement);
}
