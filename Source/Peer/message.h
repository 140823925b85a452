// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The messages between hosts as plain types; peer.capnp is their form on the wire.

#pragma once

#include "Availability/availabilitystate.h"
#include "Base/names.h"
#include "Base/time.h"
#include "Rate/ratestate.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Yokepond::Peer {

/// Names one try of one request within its home.
struct AttemptId
{
    std::uint64_t request = 0; ///< the home's sequence number
    std::uint8_t attempt = 0;

    auto operator<=>(const AttemptId &) const = default;
};

/// Asks the dispatcher of a shard for an endpoint.
struct Ask
{
    AttemptId id;
    std::uint32_t shard = 0;
    std::uint32_t requestClass = 0; ///< number in the configuration
    std::uint32_t organisation = 0; ///< number in the configuration
    Base::Duration age {}; ///< since the caller's request arrived; sent in whole milliseconds
    Base::Duration remaining {}; ///< until its deadline; sent in whole milliseconds
    Base::Instant sentAt {}; ///< on the home's clock
    std::uint32_t promptTokens = 0; ///< estimate
    std::vector<std::uint64_t> prefix; ///< hashes of ever longer beginnings of the prompt
    std::uint32_t avoid = 0; ///< endpoint of the failed attempt, 0 for none
    int rank = 0; ///< of the request; 1 is the highest, 0: that of its class
    std::uint32_t expectedTokens = 0; ///< of the answer, 0 if not known
    std::vector<std::uint32_t> prefixTokens; ///< tokens of the prompt up to the end of each entry of prefix; may be empty
};

/// Gives an endpoint to an ask.
struct Grant
{
    AttemptId id;
    std::uint32_t endpoint = 0; ///< number in the configuration
    Base::Instant startBy {}; ///< on the home's clock; a run must not start later
    std::uint32_t pressure = 0; ///< of the shard: asks queued and running per thousand of its endpoints' windows
    std::uint32_t keeper = 0; ///< endpoint from which the run's own takes what is kept of the prompt, 0 for none
    Rate::RateInfo rate; ///< by which the dispatcher counts at the endpoint
};

/// Tells a dispatcher what a home knows of an endpoint by the endpoint's own answers.
struct EndpointUpdate
{
    std::uint32_t shard = 0;
    std::uint32_t endpoint = 0;
    Rate::RateInfo rate;
    Availability::AvailabilityInfo availability;
};

enum class RefusalReason : std::uint8_t {
    QueueFull,
    DeadlinePassed,
    NoEndpoint, ///< all are drained or leaving
    NotDispatcher,
    UnknownClass,
    EndpointsDown, ///< all have failed and will be probed soon
    TooLate, ///< the target cannot be met
};

inline constexpr Base::NameTable<RefusalReason, 7> refusalReasonNames = {{
    {RefusalReason::QueueFull, "queue-full"},
    {RefusalReason::DeadlinePassed, "deadline-passed"},
    {RefusalReason::NoEndpoint, "no-endpoint"},
    {RefusalReason::NotDispatcher, "not-dispatcher"},
    {RefusalReason::UnknownClass, "unknown-class"},
    {RefusalReason::EndpointsDown, "endpoints-down"},
    {RefusalReason::TooLate, "too-late"},
}};

struct Refusal
{
    AttemptId id;
    RefusalReason reason = RefusalReason::QueueFull;
    Base::Duration retryAfter {}; ///< sent in whole milliseconds
    std::uint32_t pressure = 0;
};

/// Tells that an ask waits in its dispatcher's queue: an ask that gets neither this nor an answer soon has been lost.
struct Queued
{
    AttemptId id;
};

/// Takes an ask back.
struct Withdrawal
{
    AttemptId id;
    std::uint32_t shard = 0;
};

/// How a run ended, as its home saw it.
enum class RunResult : std::uint8_t {
    Completed,
    NotStarted,
    Failed,
    Unreachable,
    Cancelled,
    Rejected,
    ErrorResponse,
    EndpointReplaced
};

inline constexpr Base::NameTable<RunResult, 8> runResultNames = {{
    {RunResult::Completed, "completed"},
    {RunResult::NotStarted, "not-started"},
    {RunResult::Failed, "failed"},
    {RunResult::Unreachable, "unreachable"},
    {RunResult::Cancelled, "cancelled"},
    {RunResult::Rejected, "refused"},
    {RunResult::ErrorResponse, "answered-error"},
    {RunResult::EndpointReplaced, "gone"},
}};

/// Gives a permit back with what the home observed.
struct Release
{
    AttemptId id;
    std::uint32_t shard = 0;
    std::uint32_t endpoint = 0;
    RunResult result = RunResult::Completed;
    Base::Duration firstToken {}; ///< from the start of the run, zero if none came; sent in whole milliseconds
    Base::Duration gap {}; ///< mean between tokens
    std::uint32_t tokens = 0;
    Base::Duration longestGap {}; ///< between tokens
};

struct RunningPermit
{
    AttemptId id;
    std::uint32_t endpoint = 0;
    std::uint32_t requestClass = 0;
};

/// All permits of a shard that the sender holds.
struct RunningReport
{
    std::uint32_t shard = 0;
    std::vector<RunningPermit> permits;
};

enum class MemberState : std::uint8_t { Alive, Suspect, Leaving, Dead };

inline constexpr Base::NameTable<MemberState, 4> memberStateNames = {{
    {MemberState::Alive, "alive"},
    {MemberState::Suspect, "suspect"},
    {MemberState::Leaving, "leaving"},
    {MemberState::Dead, "dead"},
}};

/// What is known of a member.
struct Member
{
    std::string name;
    std::uint64_t incarnation = 0; ///< grows with each start of the host's daemon
    std::uint32_t version = 0; ///< raised by the member itself when it refutes a suspicion or leaves
    MemberState state = MemberState::Alive;
    std::string address; ///< for peers
    std::string dataCentre;
    std::string operatorAddress;
    std::string callerAddress;
    std::uint32_t milliCores = 0; ///< of processor that the host may use; 0 if not known

    bool operator==(const Member &) const = default;
};

/// Asks for an acknowledgement; carries recent membership news both ways.
struct Probe
{
    std::uint32_t sequence = 0;
    std::vector<Member> members;
    std::uint64_t revision = 0; ///< of the sender's configuration
    std::uint64_t digest = 0; ///< of the sender's member table
    std::string target; ///< not empty: probe this member in the sender's place
};

struct Acknowledgement
{
    std::uint32_t sequence = 0;
    std::vector<Member> members;
    std::uint64_t revision = 0;
    std::uint64_t digest = 0;
    std::string target; ///< not empty: the acknowledgement is this member's
};

struct ChangesRequest
{
    std::uint64_t since = 0;
    std::uint64_t endpointsSince = 0; ///< where endpoints have versions apart from the configuration's
    bool endpointsOnly = false; ///< the configuration has been asked for elsewhere
};

struct Changes
{
    std::string snapshot; ///< JSON; empty unless the log does not reach back far enough
    std::vector<std::string> log; ///< JSON change records in order
    std::string packed; ///< a platform's records, compressed; see Configuration/changescodec.h
    std::uint64_t base = 0; ///< version of the configuration against which they are compressed; 0: against none
};

/// Asks the receiver to follow the platform's store for a while: the store does not answer the sender, whose duty it is.
struct FollowStore
{
};

/// Answers FollowStore.
struct FollowAnswer
{
    bool follows = false; ///< false: the store does not answer the sender either
};

/// A query that another host answers from its own state.
struct Gather
{
    std::uint64_t id = 0;
    std::string statement;
};

struct Gathered
{
    std::uint64_t id = 0;
    std::string answer; ///< JSON
};

struct ForwardedHeader
{
    std::string name;
    std::string value;
};

/// A caller's request passed on to the home its ticket names.
struct Forward
{
    std::uint64_t id = 0;
    std::string method;
    std::string path;
    std::vector<ForwardedHeader> headers;
    std::string body;
};

struct Forwarded
{
    std::uint64_t id = 0;
    std::uint16_t status = 0;
    std::vector<ForwardedHeader> headers;
    std::string body;
};

/// How many requests of one organisation endpoints began in one window, at the host that tells it.
struct UsageEntry
{
    std::int64_t window = 0;
    std::string organisation;
    std::uint64_t began = 0;

    bool operator==(const UsageEntry &) const = default;
};

/// What a host's endpoints began, of all windows that may still have to be reported; replaces what it told before.
struct UsageCounts
{
    std::int64_t clock = 0; ///< of the sender, microseconds since the Unix epoch
    std::vector<UsageEntry> entries;
};

/// That a host's counts have come, with the fleet's time and how far usage has been fixed.
struct UsageReceived
{
    std::int64_t clock = 0; ///< the median over all hosts, microseconds since the Unix epoch
    std::int64_t fixedUpTo = 0; ///< newest window whose counts are in the store, 0 if not known
    bool holder = false; ///< the sender is the one that reports
};

/// A run broke off before its answer was whole, told to the hosts that count the endings of its work.
struct RunBroke
{
    std::uint64_t work = 0; ///< see Request::NewRequest
    std::uint32_t endpoint = 0;
    bool justBegan = false; ///< its answer had begun, and hardly more; or it does not tell its begin
};

/// What is believed of work under which endpoints ended.
struct QuarantineEntry
{
    std::uint64_t work = 0;
    std::uint32_t round = 0; ///< grows each time that it is held
    bool quarantined = false; ///< false: it has ended well since, and is harmless
    Base::Duration firstCrashAge {}; ///< of the endings that were counted; sent in whole milliseconds
    Base::Duration remaining {}; ///< until the belief ends; sent in whole milliseconds
};

struct QuarantineUpdate
{
    std::uint64_t digest = 0; ///< of all that the sender believes
    std::vector<QuarantineEntry> entries; ///< some of it, or all
};

using Message = std::variant<Ask, Grant, Refusal, Withdrawal, Release, RunningReport, Probe, Acknowledgement, ChangesRequest,
                             Changes, Gather, Gathered, Forward, Forwarded, Queued, UsageCounts, UsageReceived, RunBroke,
                             QuarantineUpdate, EndpointUpdate, FollowStore, FollowAnswer>;

/// What a message is for; bytes on the wire are counted apart for each.
enum class Traffic { Dispatch, Membership, Configuration, Query, Forwarding, Usage };

inline constexpr Base::NameTable<Traffic, 6> trafficNames = {{
    {Traffic::Dispatch, "dispatch"},
    {Traffic::Membership, "membership"},
    {Traffic::Configuration, "configuration"},
    {Traffic::Query, "query"},
    {Traffic::Forwarding, "forwarding"},
    {Traffic::Usage, "usage"},
}};

/// The kind of traffic that @p message belongs to.
Traffic trafficOf(const Message &message);

} // namespace Yokepond::Peer
