@0xc5f2a1d08b3e6f47;

# A heartbeat.
struct Beat {
  entry @0 :Text;
  incarnation @1 :UInt64;
  leaving @2 :Bool;
  ready @3 :Bool;
  # Written by entries that compare revisions without an era.
  latestWithoutEra @4 :List(UInt64);
  mayRead @5 :Bool;
  perS @6 :Float32;
  latest @7 :List(UInt64);
  era @8 :UInt64;
}

# Changes of one kind of objects after the revision `base`.
struct Told {
  kind @0 :Text;
  base @1 :UInt64;
  latest @2 :UInt64;
  settleMs @3 :Float64;
  source @4 :Text;
  changes @5 :Data;
  era @6 :UInt64;
}

struct Datagram {
  union {
    beat @0 :Beat;
    told @1 :Told;
  }
}

# A request for snapshots.
struct Ask {
  kinds @0 :List(Text);
  # What the asking entry knows of each kind, -1 for nothing yet.
  known @1 :List(Int64);
  era @2 :UInt64;
}

# A snapshot of one kind of objects.
struct Known {
  kind @0 :Text;
  latest @1 :UInt64;
  rows @2 :Data;
  seen @3 :UInt64;
  settleMs @4 :Float64;
  era @5 :UInt64;
}

# The response to `Ask`.
struct Answer {
  source @0 :Text;
  known @1 :List(Known);
}
