// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// What the relay's thread and the decisions' thread say to each other.

#pragma once

#include "Base/time.h"
#include "Http/message.h"
#include "Peer/message.h"
#include "Request/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Yokepond::Relay {

// From the relay

/// A caller's request has come whole. The relay keeps its body.
struct CallArrived
{
    std::uint64_t id = 0;
    std::string method;
    std::string path;
    std::string keyDigest; ///< SHA-256 of the bearer key, empty if there was none
    std::string className; ///< of the Yokepond-Class header, may be empty
    std::string idempotencyKey; ///< may be empty
    std::string bodyDigest; ///< SHA-256 of the body, only if there is an idempotency key
    bool waitForRun = false; ///< `Prefer: wait`
    std::optional<Http::Request> fullRequest; ///< the request itself, only if there is an idempotency key
    bool forwarded = false; ///< it came from another host
    std::string host; ///< of the Host header, lower case, without its port
    std::string model; ///< that the request names, may be empty
    std::uint32_t promptTokens = 0;
    std::uint32_t expectedTokens = 0; ///< of the answer, 0 if not known
    std::vector<std::uint64_t> prefix;
    std::vector<std::uint32_t> prefixTokens; ///< tokens up to the end of each entry of prefix; may be empty
    std::string callerRequestId; ///< of the request, where its protocol has one; for logs
    bool streams = false; ///< its answer is to be a stream
    std::uint64_t work = 0; ///< of method, path, query and body: equal for all tries of the same work, at any host
    Base::Duration timeLeft {}; ///< that the caller will wait; zero: it did not say
    absl::Status error; ///< not OK if the request is not what its path or protocol needs
};

/// The caller closed its connection before its answer ended.
struct CallerDisconnected
{
    std::uint64_t id = 0;
};

/// A run has ended; with the answer if the command asked to hold it.
struct RunEnded
{
    Request::RunReport report;
    std::optional<Http::Response> response;
};

/// An endpoint has begun a request, by its first token or, where there are none, by its answer; only if RelayOptions ask.
struct RunStarted
{
    std::string organisation;
    Base::Instant at {};
};

/// An endpoint's answer has begun, and says something of its endpoint, or names no rate where one was known.
struct EndpointAdvertised
{
    Peer::AttemptId id;
    std::uint32_t endpoint = 0;
    Request::EndpointAdvertisement advertisement;
};

/// The answer to a request that came by Adopt.
struct AdoptedResponse
{
    std::uint64_t token = 0;
    Http::Response response;
};

using Event = std::variant<CallArrived, CallerDisconnected, RunEnded, RunStarted, EndpointAdvertised, AdoptedResponse>;

// To the relay

/// Sends the kept request to an endpoint and passes its answer on.
struct Run
{
    Peer::AttemptId id;
    std::string requestName; ///< unique in the fleet
    std::string callerRequestId; ///< of the request, where its protocol has one
    std::string address; ///< of the endpoint, ip:port
    std::string endpoint; ///< its name
    std::uint32_t endpointNumber = 0;
    std::string keeper; ///< address of an endpoint that keeps a part of the prompt for this one to take over; may be empty
    std::string organisation; ///< the caller's, may be empty
    std::string path;
    bool engine = true; ///< an engine, whose answers are OpenAI-style; else a plain service
    int priority = 0; ///< the tier's rank, for the engine's own queue
    bool repeatable = true;
    bool reportRate = false; ///< send EndpointStated also if the answer states no rate
    bool reportResponse = false; ///< report the whole answer, to be given again for the same idempotency key
    std::string operationKey; ///< told to the endpoint, may be empty
    std::string fence; ///< for endpoints that check orders, may be empty
    Base::Instant startBy {};
    Base::Instant deadline {}; ///< by which the answer must have ended, where the protocol tells endpoints
};

/// The whole answer to a caller, in place of a run's.
struct Respond
{
    std::uint64_t id = 0;
    Http::Response response;
    bool preferEndpointResponse = false; ///< if the last endpoint's whole answer was a failure, pass that on instead
};

/// Ends a run and closes its connection; no report follows.
struct Stop
{
    std::uint64_t id = 0;
};

/// A request that another host passed on; its answer comes back as AdoptedAnswer.
struct Adopt
{
    std::uint64_t token = 0;
    Http::Request request;
};

using Command = std::variant<Run, Respond, Stop, Adopt>;

} // namespace Yokepond::Relay
