@0xc7d1b2a94e8f3065;
# Datagrams between relays. Mirrors PeerReport of servers/relay field by field; times are microseconds.
# The code in generated/ is made by:
#   capnp compile --src-prefix=drivers/peers -oc++:drivers/peers/generated drivers/peers/peers.capnp

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("GeraniumLever::PeerWire");

struct PeerReport {
  node @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  configuration @3 :UInt64;
  configurationAge @4 :Int64;
  sentAt @5 :Int64;
  sentAfter @6 :Int64;
}
