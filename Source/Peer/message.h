// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The messages between hosts as plain types. peer.capnp defines their form on the wire, codec.h converts between the two.
///
/// Terms: The home of a request is the host that accepted it from the caller; only the home may start it. A shard is a group of
/// endpoints of one pool in one data centre. The shard's dispatcher is the host that queues the homes' asks and grants endpoints.
/// A permit is a grant that has not been released yet. A keeper is an endpoint that caches a prefix of a prompt. The work of a
/// request is what it asks for, identified by a hash; requests with the same content are the same work. A ticket is a caller's
/// key for an operation that names the home of its request. The store is the table service of the platform that manages the
/// endpoints; to follow the store is to read its change feed and to pass the changes on to the other hosts.

#pragma once

#include "Availability/availabilitystate.h"
#include "Base/names.h"
#include "Base/time.h"
#include "Peer/process.h"
#include "Rate/ratestate.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Yokepond::Peer {

/// Identifies one attempt of one request within its home.
struct AttemptId
{
    std::uint64_t request = 0; ///< sequence number that the home assigned
    std::uint8_t attempt = 0;

    auto operator<=>(const AttemptId &) const = default;
};

/// A home's request to the dispatcher of a shard for an endpoint.
struct Ask
{
    AttemptId id;
    std::uint32_t shard = 0;
    std::uint32_t requestClass = 0; ///< number of the class in the configuration
    std::uint32_t organisation = 0; ///< number of the organisation in the configuration
    Base::Duration age {}; ///< time since the caller's request arrived; sent in whole milliseconds
    Base::Duration remaining {}; ///< time until the request's deadline; sent in whole milliseconds
    Base::Instant sentAt {}; ///< time of sending on the home's clock
    std::uint32_t promptTokens = 0; ///< estimated length of the prompt
    std::vector<std::uint64_t> prefix; ///< hashes of the prompt's prefixes, the shortest first
    std::uint32_t avoid = 0; ///< endpoint of the previous attempt, which failed; 0 for none
    int rank = 0; ///< rank of the organisation: 1 is the highest, 0 stands for none; see Configuration::Urgency
    std::uint32_t expectedTokens = 0; ///< expected length of the response; 0 if not known
    std::vector<std::uint32_t> prefixTokens; ///< prompt tokens up to the end of each entry of prefix; may be empty
    bool reportsPrefill = false; ///< whether the home can send PrefillEnded; it cannot if the response is not streamed
    std::uint32_t softwareVersion = 0; ///< number of the only software version whose endpoints may serve it, since they continue
                                       ///< a stream that began there; 0 for any
};

/// Assigns an endpoint to an ask.
struct Grant
{
    AttemptId id;
    std::uint32_t endpoint = 0; ///< number of the endpoint in the configuration
    Base::Instant startBy {}; ///< latest time at which the run may start, on the home's clock
    std::uint32_t pressure = 0; ///< load of the shard: asks queued and running per thousand slots of its endpoints
    std::uint32_t keeper = 0; ///< endpoint from which the granted one fetches the cached part of the prompt; 0 for none
    Rate::RateInfo rate; ///< request rate that the dispatcher assumes for the endpoint
    bool reportPrefill = false; ///< whether the home is to send PrefillEnded
};

/// Reports that the first token of a run came, so that its endpoint has prefilled the prompt. Sent if the grant asks for it.
struct PrefillEnded
{
    AttemptId id;
    std::uint32_t shard = 0;
};

/// Reports to a dispatcher what a home has learned about an endpoint from the endpoint's own responses.
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
    NoEndpoint, ///< all endpoints are drained or leaving
    NotDispatcher,
    UnknownClass,
    EndpointsDown, ///< all endpoints have failed and will be probed soon
    TooLate, ///< the latency target cannot be met
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

/// Rejects an ask.
struct Refusal
{
    AttemptId id;
    RefusalReason reason = RefusalReason::QueueFull;
    Base::Duration retryAfter {}; ///< delay before the caller should retry; sent in whole milliseconds
    std::uint32_t pressure = 0; ///< load of the shard, see Grant::pressure
};

/// Confirms that an ask waits in its dispatcher's queue. A home that soon gets neither this nor a grant or refusal considers the
/// ask lost.
struct Queued
{
    AttemptId id;
};

/// Cancels an ask.
struct Withdrawal
{
    AttemptId id;
    std::uint32_t shard = 0;
};

/// The end of a run as its home observed it.
enum class RunResult : std::uint8_t {
    Completed,
    NotStarted, ///< the home did not use the grant, for example because its start time had passed
    Failed, ///< the run broke off after the request was sent
    Unreachable, ///< no byte of the request can have reached the endpoint
    Cancelled, ///< the caller disconnected, or the home stopped the run
    Rejected, ///< the endpoint reported that it did not process the request
    ErrorResponse, ///< the response had an error status
    EndpointReplaced, ///< another endpoint has the address by now and did not process the request
    PathLost ///< the run failed, but the path from the home to the endpoint may be the cause, not the endpoint
};

inline constexpr Base::NameTable<RunResult, 9> runResultNames = {{
    {RunResult::Completed, "completed"},
    {RunResult::NotStarted, "not-started"},
    {RunResult::Failed, "failed"},
    {RunResult::Unreachable, "unreachable"},
    {RunResult::Cancelled, "cancelled"},
    {RunResult::Rejected, "refused"},
    {RunResult::ErrorResponse, "answered-error"},
    {RunResult::EndpointReplaced, "gone"},
    {RunResult::PathLost, "path-lost"},
}};

/// Returns a permit to the dispatcher, with the home's measurements of the run.
struct Release
{
    AttemptId id;
    std::uint32_t shard = 0;
    std::uint32_t endpoint = 0;
    RunResult result = RunResult::Completed;
    Base::Duration firstToken {}; ///< time from the start of the run to the first token, zero if none came; sent in whole ms
    Base::Duration gap {}; ///< mean time between tokens
    std::uint32_t tokens = 0;
    Base::Duration longestGap {}; ///< longest time between two tokens
    bool brittle = false; ///< a brittle endpoint rejected the run; see Availability::AdvertisedAvailability
};

struct RunningPermit
{
    AttemptId id;
    std::uint32_t endpoint = 0;
    std::uint32_t requestClass = 0;
};

/// Lists all permits of a shard that the sender holds.
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

/// State of one member of the fleet, as the sender has it.
struct Member
{
    std::string name;
    std::uint64_t incarnation = 0; ///< grows with each start of the host's daemon
    std::uint32_t version = 0; ///< raised by the member itself when it refutes a suspicion or leaves
    MemberState state = MemberState::Alive;
    std::string address; ///< address for peers
    std::string dataCentre;
    std::string operatorAddress;
    std::string callerAddress;
    std::uint32_t milliCores = 0; ///< processor capacity that the host may use, in thousandths of a core; 0 if not known

    bool operator==(const Member &) const = default;
};

/// Checks that a member is alive, which replies with an Acknowledgement. Carries recent changes of the membership.
struct Probe
{
    std::uint32_t sequence = 0;
    std::vector<Member> members;
    std::uint64_t revision = 0; ///< revision of the sender's configuration
    std::uint64_t digest = 0; ///< digest of the sender's member table
    std::string target; ///< member to probe on the sender's behalf; empty for a probe of the receiver
};

/// Reply to Probe. Carries recent changes of the membership, too.
struct Acknowledgement
{
    std::uint32_t sequence = 0;
    std::vector<Member> members;
    std::uint64_t revision = 0;
    std::uint64_t digest = 0;
    std::string target; ///< member that acknowledged, if the acknowledgement is passed on; empty for the sender's own
};

/// Requests the changes of the configuration and of the endpoints that the sender does not have.
struct ChangesRequest
{
    std::uint64_t since = 0; ///< revision of the sender's configuration
    std::uint64_t endpointsSince = 0; ///< revision of its endpoint records; used only if the records come from a platform
    bool endpointsOnly = false; ///< the reply should omit the configuration, which the sender requested from another host
};

/// Reply to ChangesRequest. If the configuration comes from a platform, only packed and base are set, otherwise snapshot or log.
struct Changes
{
    std::string snapshot; ///< the configuration as JSON; empty unless the log does not reach back far enough
    std::vector<std::string> log; ///< JSON change records in order
    std::string packed; ///< the platform's records, compressed; see Configuration/changescodec.h
    std::uint64_t base = 0; ///< revision of the configuration that packed is compressed against; 0 for none
};

/// Asks the receiver to follow the platform's store for a while. The sender has the duty of following it, but the store does not
/// answer the sender.
struct FollowStore
{
};

/// Reply to FollowStore.
struct FollowAnswer
{
    bool follows = false; ///< false if the store does not answer the host that replies either
};

/// A query that the receiver answers from its own state.
struct Gather
{
    std::uint64_t id = 0;
    std::string statement;
};

/// Reply to Gather.
struct Gathered
{
    std::uint64_t id = 0;
    std::string answer; ///< result rows as JSON
};

struct ForwardedHeader
{
    std::string name;
    std::string value;
};

/// A caller's request, forwarded to the home that its ticket names.
struct Forward
{
    std::uint64_t id = 0;
    std::string method;
    std::string path;
    std::vector<ForwardedHeader> headers;
    std::string body;
};

/// Response to a forwarded request.
struct Forwarded
{
    std::uint64_t id = 0;
    std::uint16_t status = 0;
    std::vector<ForwardedHeader> headers;
    std::string body;
};

/// Number of requests of one organisation that endpoints began in one window, as counted by one host.
struct UsageEntry
{
    std::int64_t window = 0;
    std::string organisation;
    std::uint64_t began = 0;

    bool operator==(const UsageEntry &) const = default;
};

/// The sender's counts of all windows that may still have to be reported. They replace those that it sent before.
struct UsageCounts
{
    std::int64_t clock = 0; ///< the sender's clock, microseconds since the Unix epoch
    std::vector<UsageEntry> entries;
};

/// Acknowledges UsageCounts, with the fleet's time and the progress of the reports.
struct UsageReceived
{
    std::int64_t clock = 0; ///< median of all hosts' clocks, microseconds since the Unix epoch
    std::int64_t fixedUpTo = 0; ///< newest window whose counts are in the store; 0 if not known
    bool holder = false; ///< whether the sender is the host that reports usage
};

/// Reports a run whose connection broke before its response was complete, which may mean that the request crashed the endpoint.
/// It is sent to the hosts that count such crashes for the work of the request.
struct RunBroke
{
    std::uint64_t work = 0; ///< hash of what the request asks for, see Request::NewRequest
    std::uint32_t endpoint = 0;
    bool justBegan = false; ///< the response had only just begun, or is not streamed and does not show when it begins
};

/// A part of prompts, such as the text that all prompts of one kind begin with.
struct PromptPart
{
    std::uint32_t pool = 0; ///< number of the pool that runs the prompts
    std::uint64_t id = 0; ///< see Relay::sharedParts()

    auto operator<=>(const PromptPart &) const = default;
};

/// Reports a run that broke off before its response had gone on to the hosts that count the crashes of its pool.
struct PromptRunBroke
{
    std::uint32_t pool = 0;
    std::uint32_t endpoint = 0;
    bool began = false; ///< the response had begun, or is not streamed and does not show when it begins
    bool pathInDoubt = false; ///< the path to the endpoint may have failed rather than the endpoint
    Base::Duration sentAgo {}; ///< time since the run was sent to the endpoint; sent in whole milliseconds
    std::uint64_t work = 0; ///< see Request::NewRequest
    std::vector<std::uint64_t> parts; ///< of the prompt, see Request::NewRequest; the last one stands for the work
};

/// Asks when runs with each of the parts last went on.
struct SoundPartsQuery
{
    std::uint32_t pool = 0;
    std::vector<std::uint64_t> parts;
};

/// A part with which a run went on.
struct SoundPart
{
    std::uint64_t part = 0;
    Base::Duration ago {}; ///< time since the response of the latest such run began; sent in whole milliseconds
};

/// Reply to SoundPartsQuery. Parts of which the sender knows nothing are left out.
struct SoundPartsReply
{
    std::uint32_t pool = 0;
    std::vector<SoundPart> parts;
};

/// State of work that crashed endpoints.
struct QuarantineEntry
{
    std::uint64_t work = 0; ///< for a part of prompts, the key that stands for it
    std::uint32_t round = 0; ///< grows each time that the work is quarantined
    bool quarantined = false; ///< false if the work was cleared, since a run of it completed
    Base::Duration firstCrashAge {}; ///< time since the first crash that was counted; sent in whole milliseconds
    Base::Duration remaining {}; ///< time until the entry expires; sent in whole milliseconds
    PromptPart part {}; ///< the part that `work` stands for; its pool is 0 if it stands for whole requests
};

struct QuarantineUpdate
{
    std::uint64_t digest = 0; ///< digest of all of the sender's entries
    std::vector<QuarantineEntry> entries; ///< some or all of the sender's entries
};

/// Where a stream began: the endpoint that sent its first event.
struct StreamOrigin
{
    std::uint32_t pool = 0; ///< number of the endpoint's pool
    std::uint32_t softwareVersion = 0; ///< see Configuration::softwareVersionNumber()

    bool operator==(const StreamOrigin &) const = default;
};

/// Asks the receiver to keep where a stream began, for hosts where its caller takes it up.
struct StreamBegan
{
    std::uint64_t stream = 0; ///< see Request::NewRequest
    StreamOrigin origin;
    Base::Duration keepFor {}; ///< sent in whole milliseconds
};

/// The only software version that the endpoints of a pool have had for a time that the sender has watched.
struct OnlyVersion
{
    std::uint32_t softwareVersion = 0; ///< see Configuration::softwareVersionNumber()
    Base::Duration watchedFor {}; ///< sent in whole milliseconds

    bool operator==(const OnlyVersion &) const = default;
};

/// Asks where a stream began, or, with the identity of a pool (Request::poolIdentity()), which versions the pool has had.
struct StreamOriginQuery
{
    std::uint64_t stream = 0;
};

/// Reply to StreamOriginQuery.
struct StreamOriginReply
{
    std::uint64_t stream = 0;
    std::optional<StreamOrigin> origin; ///< nothing if the sender does not know it
    /// For the identity of a pool. Nothing if the pool has had several versions or none, and from hosts of older releases.
    std::optional<OnlyVersion> onlyVersion = {};
};

using Message = std::variant<Ask, Grant, Refusal, Withdrawal, Release, RunningReport, Probe, Acknowledgement, ChangesRequest,
                             Changes, Gather, Gathered, Forward, Forwarded, Queued, UsageCounts, UsageReceived, RunBroke,
                             QuarantineUpdate, EndpointUpdate, FollowStore, FollowAnswer, PrefillEnded, StreamBegan,
                             StreamOriginQuery, StreamOriginReply, PromptRunBroke, SoundPartsQuery, SoundPartsReply>;

/// Category of a message. Messages and bytes are counted for each category.
enum class Traffic { Dispatch, Membership, Configuration, Query, Forwarding, Usage };

inline constexpr Base::NameTable<Traffic, 6> trafficNames = {{
    {Traffic::Dispatch, "dispatch"},
    {Traffic::Membership, "membership"},
    {Traffic::Configuration, "configuration"},
    {Traffic::Query, "query"},
    {Traffic::Forwarding, "forwarding"},
    {Traffic::Usage, "usage"},
}};

/// Returns the category of @p message.
Traffic trafficOf(const Message &message);

} // namespace Yokepond::Peer
