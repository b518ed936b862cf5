# The messages between entries.  This schema only grows: a field or a member
# of a union is never removed, renumbered or given another meaning.
@0xb1c6a7d02f94e835;

struct EntryRef {
  entry @0 :Text;
  incarnation @1 :UInt64;
}

struct AskId {
  asker @0 :EntryRef;
  requestId @1 :UInt64;
  attempt @2 :UInt32;
}

struct Refusal {
  verdict @0 :Text;
  reason @1 :Text;
  detail @2 :Text;
  retryAfterMs @3 :Float64;
}

struct Answer {
  status @0 :Int32;
  record @1 :Data;  # null if it was too large to store
}

struct KeyState {
  union {
    notRun @0 :Void;
    ended @1 :Answer;
    undecided @2 :Void;
    barred @3 :Void;
  }
}

struct ClaimAsk {
  key @0 :Text;
  askId @1 :AskId;
}

struct ClaimAnswer {
  key @0 :Text;
  askId @1 :AskId;
  union {
    granted @2 :Void;
    recorded @3 :Answer;
    denied @4 :Refusal;
    waiting @5 :Void;
    freed @6 :Void;
    notRegistrar @7 :Void;
  }
}

struct ClaimEnd {
  key @0 :Text;
  askId @1 :AskId;
  state @2 :KeyState;
  sequence @3 :UInt32;
}

struct ClaimEndAck {
  key @0 :Text;
  askId @1 :AskId;
  sequence @2 :UInt32;
}

struct Member {
  entry @0 :Text;
  incarnation @1 :UInt64;
  version @2 :UInt32;
  domain @3 :Text;
  address @4 :Text;
  health @5 :Health;
  stateNumber @6 :UInt64;
  callersAddress @7 :Text;
}

enum Health {
  alive @0;
  suspect @1;
  leaving @2;
  dead @3;
}

struct Probe {
  sequence @0 :UInt64;
  stateNumber @1 :UInt64;
  news @2 :List(Member);
}

struct ProbeFor {
  sequence @0 :UInt64;
  target @1 :Text;
}

struct ProbeRelayed {
  sequence @0 :UInt64;
  target @1 :EntryRef;
}

struct MembersAsk {
  domain @0 :Text;
  after @1 :Text;
}

struct MembersPage {
  domain @0 :Text;
  after @1 :Text;
  last @2 :Bool;
  news @3 :List(Member);
}

struct SlotAsk {
  askId @0 :AskId;
  service @1 :Text;
  rank @2 :Text;
  deadlineInMs @3 :Float64;
  fromDomain @4 :Text;
  avoid @5 :Text;  # null for the first attempt
  forwarded @6 :Bool;
  tried @7 :List(Text);
  homeRegion @8 :Text;
  bodyBytes @9 :UInt64;
  homeless @10 :Bool;
}

struct SlotAnswer {
  askId @0 :AskId;
  upstream @1 :Text;    # null without a grant
  refusal @2 :Refusal;  # null with a grant
  redirect @3 :Text;    # null if no other domain is worth asking
  polledMs @4 :UInt32;  # ms since the poll and 1; 0 without a poll
}

struct SlotHeld {
  askId @0 :AskId;
  service @1 :Text;
  rank @2 :Text;
  upstream @3 :Text;
  fromDomain @4 :Text;
}

enum SlotEnd {
  served @0;
  shed @1;
  failed @2;
  timedOut @3;
  unused @4;
}

struct SlotReturn {
  askId @0 :AskId;
  upstream @1 :Text;  # null to leave the queue
  elapsedMs @2 :Float64;
  end @3 :SlotEnd;
  answerBytes @4 :UInt64;
  faulty @5 :Bool;  # the end is "failed" for entries that don't know this
}

struct UpstreamNotice {
  upstream @0 :Text;
  address @1 :Text;
  ageMs @2 :Float64;
  union {
    leaves @3 :Void;
    pausesMs @4 :Float64;
  }
}

struct Load {
  service @0 :Text;
  domain @1 :Text;
  slots @2 :UInt32;
  inUse @3 :UInt32;
  queued @4 :UInt32;
  seenMs @5 :Float64;
  serviceTimeMs @6 :Float64;
}

struct StateNumber {
  number @0 :UInt64;
  digest @1 :Text;
}

struct StateAsk {
  number @0 :UInt64;
  digest @1 :Text;
  part @2 :UInt32;
  wanted @3 :UInt64;
}

# A state as in the store: JSON, whose format is versioned separately.
struct StateDocument {
  format @0 :UInt16;
  digest @1 :Data;
  content @2 :Data;
}

struct StateData {
  document @0 :StateDocument;
  part @1 :UInt32;
  parts @2 :UInt32;
}

struct StateDelta {
  baseNumber @0 :UInt64;
  baseDigest @1 :Text;
  changed @2 :StateDocument;
  removed @3 :List(Row);

  struct Row {
    table @0 :Text;
    key @1 :Text;
  }
}

struct Envelope {
  sender @0 :EntryRef;
  sequence @1 :UInt64;
  sentMs @2 :Float64;
  union {
    empty @3 :Void;  # decoded from all zeroes; never sent
    barKey @4 :ClaimAsk;
    claimAnswer @5 :ClaimAnswer;
    claimAsk @6 :ClaimAsk;
    claimEnd @7 :ClaimEnd;
    probe @8 :Probe;
    probeAnswer @9 :Probe;
    probeFor @10 :ProbeFor;
    probeRelayed @11 :ProbeRelayed;
    news @12 :List(Member);
    slotAnswer @13 :SlotAnswer;
    slotAsk @14 :SlotAsk;
    slotReturn @15 :SlotReturn;
    loadReport @16 :List(Load);
    stateAsk @17 :StateAsk;
    stateData @18 :StateData;
    stateDelta @19 :StateDelta;
    stateNumber @20 :StateNumber;
    claimEndAck @21 :ClaimEndAck;
    slotWaiting @22 :AskId;
    slotHeldReport @23 :SlotHeld;
    membersAsk @24 :MembersAsk;
    membersPage @25 :MembersPage;
    upstreamNotice @26 :UpstreamNotice;
  }
}
