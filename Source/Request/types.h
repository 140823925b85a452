// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Types that the modules of a request's life cycle share.

#pragma once

#include "Availability/advertisedavailability.h"
#include "Base/error.h"
#include "Base/names.h"
#include "Base/time.h"
#include "Peer/message.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Yokepond::Request {

/// Whether a request ran, as reported to the caller.
enum class Outcome { Completed, NotRun, Unknown };

inline constexpr Base::NameTable<Outcome, 3> outcomeNames = {{
    {Outcome::Completed, "completed"},
    {Outcome::NotRun, "not-run"},
    {Outcome::Unknown, "unknown"},
}};

/// A request that has been authenticated and classified.
struct NewRequest
{
    std::uint64_t id = 0; ///< the home's sequence number
    std::uint32_t requestClass = 0;
    std::uint32_t organisation = 0;
    std::uint32_t promptTokens = 0; ///< estimated tokens of the prompt
    std::vector<std::uint64_t> prefix; ///< hashes of prefixes of the prompt, each longer than the one before
    std::vector<std::uint32_t> prefixTokens; ///< number of tokens up to the end of each entry of prefix; may be empty
    std::vector<std::uint64_t> parts; ///< parts of the prompt that other prompts may have too; see Relay::sharedParts()
    std::uint32_t expectedTokens = 0; ///< expected tokens of the response, 0 if unknown
    int rank = 0; ///< see Peer::Ask
    Base::Duration timeLeft {}; ///< time that the caller will wait; zero: only the class's deadline applies
    bool streams = false; ///< the response is streamed while the run goes on
    std::uint64_t work = 0; ///< hash of organisation, path and body: equal at all hosts for requests that ask for the same
    /// Identity of the stream at all hosts: a hash of the organisation and of the caller's id for the request that brought the
    /// first event, which is this request unless it continues a stream. 0 if the caller gives none.
    std::uint64_t stream = 0;
    bool continuesStream = false; ///< the caller holds events of the stream from an earlier request
};

/// Information about its endpoint that the head of a response advertises.
struct EndpointAdvertisement
{
    Rate::AdvertisedRate rate;
    Availability::AdvertisedAvailability availability;
};

/// How far a run got at its endpoint.
enum class RunStage {
    Stale, ///< nothing was sent: the grant was past its start-by time, or was returned
    NotSent, ///< no byte of the request can have reached the endpoint
    Rejected, ///< the endpoint's protocol says that it did not process the request
    EndpointReplaced, ///< another endpoint has taken over the address; it did not process the request
    Sent, ///< the request was sent and may have run
    ResponseComplete, ///< the complete response has been received
};

/// The limit of a response that its endpoint exceeded, for which the relay closed the connection.
enum class ResponseLimit {
    None,
    Head, ///< the head, with interim responses and trailers
    Body, ///< the body of a response that is not a stream
    Event, ///< one event of a stream
    Comments, ///< a stream without an event that has data
};

inline constexpr Base::NameTable<ResponseLimit, 5> responseLimitNames = {{
    {ResponseLimit::None, "none"},
    {ResponseLimit::Head, "head"},
    {ResponseLimit::Body, "body"},
    {ResponseLimit::Event, "event"},
    {ResponseLimit::Comments, "comments"},
}};

/// The end of a run as the relay observed it.
struct RunReport
{
    Peer::AttemptId id;
    RunStage stage = RunStage::NotSent;
    /// Part of the response has been relayed to the caller, so that no other run may start unless the class is resumable.
    bool callerSawBytes = false;
    bool callerDisconnected = false;
    Base::Duration firstToken {}; ///< time to the first token
    Base::Duration gap {}; ///< mean time between tokens
    std::uint32_t tokens = 0;
    int status = 0; ///< the endpoint's HTTP status
    Base::Duration longestGap {}; ///< longest time between tokens
    bool brittle = false; ///< a brittle endpoint rejected the run; see Availability::AdvertisedAvailability
    bool pathInDoubt = false; ///< the path to the endpoint may have failed rather than the endpoint
    bool endsWithConnection = false; ///< the end of the response was not marked, by its length for example; it ended with its
                                     ///< connection
    ResponseLimit overLimit = ResponseLimit::None;
    bool malformed = false; ///< the endpoint sent what is no response, so the relay closed the connection
};

// Actions that the home requests from the daemon.

/// Sends a message to another host, or to one process of it.
struct SendToMember
{
    Peer::Process member;
    Peer::Message message;
};

/// Starts a run at an endpoint.
struct StartRun
{
    Peer::AttemptId id;
    std::uint32_t endpoint = 0;
    Base::Instant startBy {}; ///< the run must not start later
    bool reportRate = false; ///< report whether the response advertises a rate, even if it does not
    std::uint32_t keeper = 0; ///< endpoint with a cached prefix of the prompt that @p endpoint is to transfer, 0 for none
    bool reportFirstToken = false; ///< whether to call Home::firstTokenReceived()
    std::uint32_t softwareVersion = 0; ///< number of the software version that the endpoint must have; 0 for any
};

/// Cancels the current run of a request.
struct CancelRun
{
    std::uint64_t request = 0;
};

/// The final response to a request that did not complete.
struct Fail
{
    std::uint64_t request = 0;
    absl::Status error;
    Outcome outcome = Outcome::NotRun;
    Base::Duration retryAfter {}; ///< zero: no Retry-After is sent
    std::optional<Peer::RefusalReason> refusal; ///< why a dispatcher refused the request, if that is why it fails
};

/// The complete response has been relayed to the caller.
struct Finished
{
    std::uint64_t request = 0;
};

using Action = std::variant<SendToMember, StartRun, CancelRun, Fail, Finished>;

// The trace of a request, which the query `why request` shows.

enum class Step {
    Arrived,
    Asked,
    Granted,
    GrantStale,
    GrantReturned,
    Refused,
    Started,
    Ended,
    Retried,
    Moved,
    LocalWindow,
    Failed,
    Withdrawn,
    CallerDisconnected,
    LookingUpStream,
    StreamFound
};

inline constexpr Base::NameTable<Step, 16> stepNames = {{
    {Step::Arrived, "arrived"},
    {Step::Asked, "asked"},
    {Step::Granted, "granted"},
    {Step::GrantStale, "grant-stale"},
    {Step::GrantReturned, "grant-returned"},
    {Step::Refused, "refused"},
    {Step::Started, "started"},
    {Step::Ended, "ended"},
    {Step::Retried, "retried"},
    {Step::Moved, "moved"},
    {Step::LocalWindow, "local-window"},
    {Step::Failed, "failed"},
    {Step::Withdrawn, "withdrawn"},
    {Step::CallerDisconnected, "caller-gone"},
    {Step::LookingUpStream, "looking-up-stream"},
    {Step::StreamFound, "stream-found"},
}};

struct TraceEntry
{
    Base::Instant at {};
    Step step = Step::Arrived;
    std::string detail; ///< names and figures that belong to the step
};

} // namespace Yokepond::Request
