// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// What the modules around a request share.

#pragma once

#include "Availability/advertisedavailability.h"
#include "Base/error.h"
#include "Base/names.h"
#include "Base/time.h"
#include "Peer/message.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Yokepond::Request {

/// What a caller is told of whether its request ran.
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
    std::uint32_t promptTokens = 0; ///< estimate
    std::vector<std::uint64_t> prefix;
    std::vector<std::uint32_t> prefixTokens; ///< tokens up to the end of each entry of prefix; may be empty
    std::uint32_t expectedTokens = 0; ///< of the answer, 0 if not known
    int rank = 0; ///< 0: that of the class's tier
    Base::Duration timeLeft {}; ///< that the caller will wait; zero: the class's deadline alone counts
    bool streams = false; ///< its answer begins with its run, not at the end of it
    std::uint64_t work = 0; ///< equal for all requests of the same organisation, path and body, at any host
};

/// What the head of an answer says of its endpoint, beside the answer.
struct EndpointAdvertisement
{
    Rate::AdvertisedRate rate;
    Availability::AdvertisedAvailability availability;
};

/// How far a run got at its endpoint.
enum class RunStage {
    Stale, ///< the grant's start-by time had passed, so that nothing was started
    NotSent, ///< no byte of the request can have reached the endpoint
    Rejected, ///< the endpoint's protocol says that it did not process the request
    EndpointReplaced, ///< another endpoint has its address and did not process the request either
    Sent, ///< may have run
    ResponseComplete, ///< the whole answer has come
};

/// A run has ended, as the relay saw it.
struct RunReport
{
    Peer::AttemptId id;
    RunStage stage = RunStage::NotSent;
    bool callerSawBytes = false; ///< some of the answer has been passed on, so that no other run may begin
    bool callerDisconnected = false;
    Base::Duration firstToken {};
    Base::Duration gap {};
    std::uint32_t tokens = 0;
    int status = 0; ///< the endpoint's HTTP status
    Base::Duration longestGap {};
};

// What the home wants done.

struct SendToMember
{
    std::string member;
    Peer::Message message;
};

struct StartRun
{
    Peer::AttemptId id;
    std::uint32_t endpoint = 0;
    Base::Instant startBy {};
    bool reportRate = false; ///< whether its answer states a rate is to be told, also if it states none
    std::uint32_t keeper = 0; ///< endpoint that keeps a part of the prompt which @p endpoint is to take over, 0 for none
};

struct CancelRun
{
    std::uint64_t request = 0;
};

/// The final answer of a request that did not complete.
struct Fail
{
    std::uint64_t request = 0;
    absl::Status error;
    Outcome outcome = Outcome::NotRun;
    Base::Duration retryAfter {}; ///< zero: none is told
};

/// The whole answer has been passed on.
struct Finished
{
    std::uint64_t request = 0;
};

using Action = std::variant<SendToMember, StartRun, CancelRun, Fail, Finished>;

// The request's way, for `why request`.

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
    CallerDisconnected
};

inline constexpr Base::NameTable<Step, 14> stepNames = {{
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
}};

struct TraceEntry
{
    Base::Instant at {};
    Step step = Step::Arrived;
    std::string detail; ///< names and numbers behind the step
};

} // namespace Yokepond::Request
