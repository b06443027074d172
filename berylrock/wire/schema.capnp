@0xbf5147cbbecf40c1;
# Frames between an entry process and a sidecar. The fields are documented in core/message.py.

struct Challenge { nonce @0 :Data; }
struct Hello { name @0 :Text; zone @1 :Text; proof @2 :Data; }
struct Welcome { server @0 :Text; incarnation @1 :Text; }
struct Heartbeat { configVersion @0 :UInt64; }
struct Report {
  configVersion @0 :UInt64;
  running @1 :UInt32;
  queued @2 :UInt32;
  heldTokens @3 :UInt32;
  capacityTokens @4 :UInt32;
  cold @5 :Bool;
  leaving @6 :Bool;
  reachable @7 :Bool;
  fence @8 :UInt64;
  entries @9 :UInt32;
  slots @10 :UInt32;
}
struct Loaded { versions @0 :List(Text); }
struct Start {
  attempt @0 :Text;
  requestId @1 :Text;
  organisation @2 :Text;
  target @3 :Text;
  method @4 :Text;
  path @5 :Text;
  headers @6 :List(Text);
  body @7 :Data;
  tokens @8 :UInt32;
  timeoutMs @9 :UInt32;
  priority @10 :Int32;
  fingerprint @11 :Text;
  repeatable @12 :Bool;
  resumeTokens @13 :UInt32;
  resumeText @14 :Text;
  configVersion @15 :UInt64;
  claim @16 :Text;
  billingKey @17 :Text;
}
struct Refused { attempt @0 :Text; reason @1 :Text; detail @2 :Text; configVersion @3 :UInt64; }
struct Chunk { attempt @0 :Text; offset @1 :UInt32; data @2 :Data; }
struct End {
  attempt @0 :Text;
  offset @1 :UInt32;
  outcome @2 :Text;
  status @3 :UInt16;
  headers @4 :List(Text);
  promptTokens @5 :UInt32;
  tokens @6 :UInt32;
  detail @7 :Text;
  confidence @8 :Float64;
}
struct Window { attempt @0 :Text; offset @1 :UInt32; }
struct Attach { attempt @0 :Text; offset @1 :UInt32; }
struct Cancel { attempt @0 :Text; }
struct Config { version @0 :UInt64; body @1 :Data; }
struct ConfigChange {
  base @0 :UInt64;
  version @1 :UInt64;
  prefix @2 :UInt32;
  suffix @3 :UInt32;
  middle @4 :Data;
  digest @5 :Data;
}
struct Bill {
  requestId @0 :Text;
  attempt @1 :Text;
  organisation @2 :Text;
  target @3 :Text;
  promptTokens @4 :UInt32;
  tokens @5 :UInt32;
  billingKey @6 :Text;
}
struct BillsStored { attempts @0 :List(Text); }
struct BillsLeft { bills @0 :List(Bill); }
struct OutcomeLeft {
  attempt @0 :Text;
  claim @1 :Text;
  status @2 :UInt16;
  headers @3 :List(Text);
  body @4 :Data;
}
struct Strike { fingerprint @0 :Text; fall @1 :Text; }
struct Strikes { strikes @0 :List(Strike); cleared @1 :List(Text); }
struct Order { orderId @0 :Text; fence @1 :UInt64; verb @2 :Text; target @3 :Text; }
struct OrderDone { orderId @0 :Text; accepted @1 :Bool; detail @2 :Text; }

struct Frame {
  union {
    challenge @0 :Challenge;
    hello @1 :Hello;
    welcome @2 :Welcome;
    heartbeat @3 :Heartbeat;
    report @4 :Report;
    start @5 :Start;
    refused @6 :Refused;
    chunk @7 :Chunk;
    end @8 :End;
    window @9 :Window;
    attach @10 :Attach;
    cancel @11 :Cancel;
    config @12 :Config;
    billsStored @13 :BillsStored;
    billsLeft @14 :BillsLeft;
    outcomeLeft @15 :OutcomeLeft;
    order @16 :Order;
    orderDone @17 :OrderDone;
    strikes @18 :Strikes;
    loaded @19 :Loaded;
    configChange @20 :ConfigChange;
  }
}
