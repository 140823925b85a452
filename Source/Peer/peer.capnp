# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
#
# The messages between hosts. See docs/design/peer-protocol.md.
# Numbers of classes, organisations and endpoints are those of the configuration. A field's name ends in the unit of its value.

@0xd3a1c0f7b2e94a11;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Yokepond::Peer::Wire");

struct Ask {
  request @0 :UInt64;          # sequence number that the home assigned
  attempt @1 :UInt8;
  shard @2 :UInt32;
  requestClass @3 :UInt32;
  organisation @4 :UInt32;
  ageMs @5 :UInt32;            # time since the caller's request arrived
  remainingMs @6 :UInt32;      # time until the request's deadline
  sentAtUs @7 :UInt64;         # home's monotonic clock; the grant's startByUs refers to the same clock
  promptTokens @8 :UInt32;     # estimated length of the prompt
  prefix @9 :List(UInt64);     # hashes of the prompt's prefixes, the shortest first
  avoid @10 :UInt32;           # endpoint of the failed attempt; 0 for none
  rank @11 :Int16;             # rank of the request: 1 is the highest, 0 stands for the rank of its class
  expectedTokens @12 :UInt32;  # expected length of the response; 0 if not known
  prefixTokens @13 :List(UInt32); # prompt tokens up to the end of each entry of prefix; may be empty
  reportsPrefill @14 :Bool;    # whether the home can send PrefillEnded
  softwareVersion @15 :UInt32; # number of the only software version that may continue the stream; 0 for any
}

struct RateWord {              # the request rate that an endpoint advertised
  knowledge @0 :UInt8;         # 0 if the rate is not known
  perSecond @1 :Float64;       # requests that the endpoint takes from all hosts together
  ageMs @2 :UInt32;            # time since the endpoint advertised the rate
}

struct Grant {
  request @0 :UInt64;
  attempt @1 :UInt8;
  endpoint @2 :UInt32;
  startByUs @3 :UInt64;        # latest time at which the run may start, on the home's monotonic clock
  pressure @4 :UInt32;         # load of the shard: asks queued and running per thousand slots of its endpoints
  keeper @5 :UInt32;           # endpoint from which the granted one fetches the cached part of the prompt; 0 for none
  rate @6 :RateWord;           # absent if no rate is known
  reportPrefill @7 :Bool;      # whether the home is to send PrefillEnded
}

struct PrefillEnded {
  request @0 :UInt64;
  attempt @1 :UInt8;
  shard @2 :UInt32;
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
  firstTokenMs @5 :UInt32;     # time from the start of the run to the first token; 0 if none came
  gapUs @6 :UInt32;            # mean time between tokens
  tokens @7 :UInt32;
  longestGapUs @8 :UInt32;     # longest time between two tokens
  brittle @9 :Bool;            # a brittle endpoint rejected the run: it is to be spared further rejections
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
  milliCores @8 :UInt32;       # processor capacity that the host may use, in thousandths of a core; 0 if not known
}

struct Probe {
  sequence @0 :UInt32;
  members @1 :List(Member);
  revision @2 :UInt64;         # revision of the sender's configuration
  digest @3 :UInt64;           # digest of the sender's member table
  target @4 :Text;             # member to probe on the sender's behalf; absent for a probe of the receiver
}

struct Acknowledgement {
  sequence @0 :UInt32;
  members @1 :List(Member);
  revision @2 :UInt64;
  digest @3 :UInt64;
  target @4 :Text;             # member that acknowledged, if the acknowledgement is passed on
}

struct ChangesRequest {
  since @0 :UInt64;            # revision of the sender's configuration
  endpointsSince @1 :UInt64;   # revision of its endpoints, where they have revisions of their own
  endpointsOnly @2 :Bool;      # the sender has requested the configuration from another host
}

struct Changes {
  snapshot @0 :Text;           # JSON, empty unless the log does not reach back far enough
  log @1 :List(Text);          # JSON change records in order
  packed @2 :Data;             # a platform's records, compressed
  base @3 :UInt64;             # version of the configuration that packed is compressed against; 0 for none
}

struct FollowStore {           # the store does not answer the sender, which has the duty of following it
}

struct FollowAnswer {
  follows @0 :Bool;            # false if the store does not answer the receiver of FollowStore either
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
  clock @0 :Int64;             # the sender's clock, microseconds since the Unix epoch
  entries @1 :List(UsageEntry);
}

struct UsageReceived {
  clock @0 :Int64;             # median of all hosts' clocks
  fixedUpTo @1 :Int64;         # newest window whose counts are in the store; 0 if not known
  holder @2 :Bool;             # whether the sender is the host that reports usage
}

struct RunBroke {
  work @0 :UInt64;             # hash of organisation, method, path, query and body
  endpoint @1 :UInt32;
  justBegan @2 :Bool;          # the response had only just begun, or is not streamed and does not show when it begins
}

struct QuarantineEntry {
  work @0 :UInt64;
  round @1 :UInt32;            # grows each time that the work is quarantined
  held @2 :Bool;               # false if the work was cleared, since a run of it completed
  firstEndingMs @3 :UInt32;    # time since the first crash that was counted
  leftMs @4 :UInt32;           # time until the entry expires
  partPool @5 :UInt32;         # if the work stands for a part of prompts: the pool that runs them; otherwise 0
  part @6 :UInt64;             # the part
}

struct QuarantineNews {
  digest @0 :UInt64;           # digest of all of the sender's entries
  entries @1 :List(QuarantineEntry);
}

struct EndpointNews {
  shard @0 :UInt32;
  endpoint @1 :UInt32;
  rate @2 :RateWord;
  leavesForMs @3 :UInt32;      # time for which the endpoint is considered leaving; 0 if it is not
  restsForMs @4 :UInt32;       # remaining cooldown, in which the endpoint takes no request of the sender; 0 if there is none
}

struct StreamBegan {
  stream @0 :UInt64;           # hash of the organisation and of the caller's id for the request that brought the first event
  pool @1 :UInt32;             # where the first event came from
  softwareVersion @2 :UInt32;
  keepForMs @3 :UInt32;
}

struct StreamOriginQuery {
  stream @0 :UInt64;
}

struct StreamOriginReply {
  stream @0 :UInt64;
  known @1 :Bool;              # if false, the sender knows no such stream
  pool @2 :UInt32;             # if not known, and asked with the identity of a pool: the milliseconds for which the sender has
  softwareVersion @3 :UInt32;  # watched that its endpoints have just this version; 0 if it cannot tell
}

struct PromptRunBroke {
  pool @0 :UInt32;
  endpoint @1 :UInt32;
  began @2 :Bool;              # the response had begun, or is not streamed and does not show when it begins
  pathInDoubt @3 :Bool;        # the path to the endpoint may have failed rather than the endpoint
  sentAgoMs @4 :UInt32;        # time since the run was sent to the endpoint
  parts @5 :List(UInt64);      # parts of the prompt; the last one stands for the work
  work @6 :UInt64;             # hash of organisation, method, path, query and body
}

struct SoundPartsQuery {
  pool @0 :UInt32;
  parts @1 :List(UInt64);
}

struct SoundPart {
  part @0 :UInt64;
  agoMs @1 :UInt32;            # time since the response of the latest run with the part began that went on
}

struct SoundPartsReply {
  pool @0 :UInt32;
  parts @1 :List(SoundPart);
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
    prefillEnded @22 :PrefillEnded;
    streamBegan @23 :StreamBegan;
    streamOriginQuery @24 :StreamOriginQuery;
    streamOriginReply @25 :StreamOriginReply;
    promptRunBroke @26 :PromptRunBroke;
    soundPartsQuery @27 :SoundPartsQuery;
    soundPartsReply @28 :SoundPartsReply;
  }
}

interface Session {
  # Delivers messages. The result holds those that the receiver has for the sender when it has handled the delivered ones.
  post @0 (messages :List(Message)) -> (messages :List(Message));
}

interface Host {
  # Opens a session for messages to this host. Messages in the other direction have a connection of their own.
  connect @0 (name :Text, incarnation :UInt64, address :Text) -> (session :Session, name :Text, incarnation :UInt64);
}
