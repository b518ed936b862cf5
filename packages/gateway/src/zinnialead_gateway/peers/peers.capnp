@0xc5f2a1d08b3e6f47;

struct Beat {
  entry @0 :Text;
  incarnation @1 :UInt64;
  leaving @2 :Bool;
  ready @3 :Bool;
  latest @4 :List(UInt64);
}

struct Ask {
  kinds @0 :List(Text);
}

struct Known {
  kind @0 :Text;
  latest @1 :UInt64;
  rows @2 :Data;
}

struct Answer {
  source @0 :Text;
  known @1 :List(Known);
}
