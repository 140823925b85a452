# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
#
# What the hosts say to each other. See docs/design/peer-protocol.md.
# Numbers of classes, organisations and endpoints are those of the configuration; durations are in the unit named.

@0xd3a1c0f7b2e94a11;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Yokepond::Peer::Wire");

struct Ask {
  request @0 :UInt64;          # the home's sequence number
  attempt @1 :UInt8;
  shard @2 :UInt32;
  requestClass @3 :UInt32;
  organisation @4 :UInt32;
  ageMs @5 :UInt32;            # since the caller's request arrived
  remainingMs @6 :UInt32;      # until its deadline
  sentAtUs @7 :UInt64;         # the home's monotonic clock; comes back in the grant's startBy
  promptTokens @8 :UInt32;
  prefix @9 :List(UInt64);
  avoid @10 :UInt32;           # endpoint of the failed attempt, 0 for none
  rank @11 :Int16;             # of the request; 1 is the highest, 0: that of its class
  expectedTokens @12 :UInt32;  # of the answer, 0 if not known
  prefixTokens @13 :List(UInt32); # tokens of the prompt up to the end of each entry of prefix; may be empty
}

struct RateWord {
  knowledge @0 :UInt8;         # 0: none
  perSecond @1 :Float64;       # requests that the endpoint takes from all hosts together
  ageMs @2 :UInt32;            # since the endpoint said it
}

struct Grant {
  request @0 :UInt64;
  attempt @1 :UInt8;
  endpoint @2 :UInt32;
  startByUs @3 :UInt64;        # on the home's monotonic clock
  pressure @4 :UInt32;         # of the shard: asks queued and running per thousand of its endpoints' windows
  keeper @5 :UInt32;           # endpoint from which the run's own takes what is kept of the prompt, 0 for none
  rate @6 :RateWord;           # absent: none is known
}

struct Refusal {
  request @0 :UInt64;
  attempt @1 :UInt8;
  reason @2 :UInt8;
  retryAfterMs @3 :UInt32;
  pressure @4 :UInt32;
}

struct Withdrawal {
  request @0 :UInt64;
  attempt @1 :UInt8;
  shard @2 :UInt32;
}

struct Queued {
  request @0 :UInt64;
  attempt @1 :UInt8;
}

struct Release {
  request @0 :UInt64;
  attempt @1 :UInt8;
  shard @2 :UInt32;
  endpoint @3 :UInt32;
  result @4 :UInt8;
  firstTokenMs @5 :UInt32;     # from the start of the run; 0: none came
  gapUs @6 :UInt32;            # mean gap between tokens
  tokens @7 :UInt32;
  longestGapUs @8 :UInt32;     # between tokens
}

struct RunningPermit {
  request @0 :UInt64;
  attempt @1 :UInt8;
  endpoint @2 :UInt32;
  requestClass @3 :UInt32;
}

struct RunningReport {
  shard @0 :UInt32;
  permits @1 :List(RunningPermit);
}

struct Member {
  name @0 :Text;
  incarnation @1 :UInt64;
  version @2 :UInt32;          # grows with each refutation or change by the member itself
  state @3 :UInt8;
  address @4 :Text;
  dataCentre @5 :Text;
  operatorAddress @6 :Text;
  callerAddress @7 :Text;
  milliCores @8 :UInt32;       # processor it may use; 0 if not known
}

struct Probe {
  sequence @0 :UInt32;
  members @1 :List(Member);
  revision @2 :UInt64;
  digest @3 :UInt64;           # of the sender's member table
  target @4 :Text;             # set when the receiver is asked to probe another member
}

struct Acknowledgement {
  sequence @0 :UInt32;
  members @1 :List(Member);
  revision @2 :UInt64;
  digest @3 :UInt64;
  target @4 :Text;             # set when the acknowledgement is another member's, passed on
}

struct ChangesRequest {
  since @0 :UInt64;
  endpointsSince @1 :UInt64;   # where endpoints have versions apart from the configuration's
  endpointsOnly @2 :Bool;      # the configuration has been asked for elsewhere
}

struct Changes {
  snapshot @0 :Text;           # JSON, empty unless the log does not reach back far enough
  log @1 :List(Text);          # JSON change records in order
  packed @2 :Data;             # a platform's records, compressed
  base @3 :UInt64;             # version of the configuration against which they are, 0: against none
}

struct FollowStore {           # the store does not answer the sender, whose duty it is to follow it
}

struct FollowAnswer {
  follows @0 :Bool;            # false: it does not answer the receiver of FollowStore either
}

struct Gather {
  id @0 :UInt64;
  statement @1 :Text;
}

struct Gathered {
  id @0 :UInt64;
  answer @1 :Text;             # JSON
}

struct ForwardedHeader {
  name @0 :Text;
  value @1 :Text;
}

struct Forward {
  id @0 :UInt64;
  method @1 :Text;
  path @2 :Text;
  headers @3 :List(ForwardedHeader);
  body @4 :Data;
}

struct Forwarded {
  id @0 :UInt64;
  status @1 :UInt16;
  headers @2 :List(ForwardedHeader);
  body @3 :Data;
}

struct UsageEntry {
  window @0 :Int64;
  organisation @1 :Text;
  began @2 :UInt64;
}

struct UsageCounts {
  clock @0 :Int64;             # of the sender, microseconds since the Unix epoch
  entries @1 :List(UsageEntry);
}

struct UsageReceived {
  clock @0 :Int64;             # the median over all hosts
  fixedUpTo @1 :Int64;         # newest window whose counts are in the store, 0 if not known
  holder @2 :Bool;             # the sender is the one that reports
}

struct RunBroke {
  work @0 :UInt64;             # hash of organisation, method, path, query and body
  endpoint @1 :UInt32;
  justBegan @2 :Bool;          # its answer had begun, and hardly more
}

struct QuarantineEntry {
  work @0 :UInt64;
  round @1 :UInt32;            # grows each time that it is held
  held @2 :Bool;
  firstEndingMs @3 :UInt32;    # ago
  leftMs @4 :UInt32;
}

struct QuarantineNews {
  digest @0 :UInt64;           # of all that the sender believes
  entries @1 :List(QuarantineEntry);
}

struct EndpointNews {
  shard @0 :UInt32;
  endpoint @1 :UInt32;
  rate @2 :RateWord;
  leavesForMs @3 :UInt32;      # it has said that it leaves, and is taken to for so long; 0: not
  restsForMs @4 :UInt32;       # for so long it takes no request of the sender; 0: it may
}

struct Message {
  union {
    ask @0 :Ask;
    grant @1 :Grant;
    refusal @2 :Refusal;
    withdrawal @3 :Withdrawal;
    release @4 :Release;
    running @5 :RunningReport;
    probe @6 :Probe;
    acknowledgement @7 :Acknowledgement;
    changesRequest @8 :ChangesRequest;
    changes @9 :Changes;
    gather @10 :Gather;
    gathered @11 :Gathered;
    forward @12 :Forward;
    forwarded @13 :Forwarded;
    queued @14 :Queued;
    usageCounts @15 :UsageCounts;
    usageReceived @16 :UsageReceived;
    runBroke @17 :RunBroke;
    quarantineNews @18 :QuarantineNews;
    endpointNews @19 :EndpointNews;
    followStore @20 :FollowStore;
    followAnswer @21 :FollowAnswer;
  }
}

interface Session {
  # What the receiver has to say to the sender by the time it has handled the messages comes back with the return.
  post @0 (messages :List(Message)) -> (messages :List(Message));
}

interface Host {
  # Opens a one-way session; the other way has a connection of its own.
  connect @0 (name :Text, incarnation :UInt64, address :Text) -> (session :Session, name :Text, incarnation :UInt64);
}
