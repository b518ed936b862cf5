@0xc5f2a1d08b3e6f47;

struct Beat {
  entry @0 :Text;
  incarnation @1 :UInt64;
  leaving @2 :Bool;
  ready @3 :Bool;
}
