// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The events and commands that the relay's thread and the daemon's main thread exchange.
///
/// The relay's thread carries the data. The main thread decides which endpoint runs a request, and when; it includes
/// Request::Home, which keeps the state of the requests that this host accepted.
///
/// The id of a call and the id of its request are the same number. A Run carries it as the `request` part of its AttemptId.

#pragma once

#include "Base/time.h"
#include "Configuration/urgency.h"
#include "Http/message.h"
#include "Peer/message.h"
#include "Relay/endpointpaths.h"
#include "Request/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Yokepond::Relay {

// --- Events from the relay

/// Reports that a caller's request has been received completely. The relay keeps its body.
struct CallArrived
{
    std::uint64_t id = 0;
    std::string method;
    std::string path;
    std::string keyDigest; ///< SHA-256 of the bearer key, empty if there was none
    std::string className; ///< value of the Yokepond-Class header, may be empty
    std::string idempotencyKey; ///< may be empty
    std::string bodyDigest; ///< SHA-256 of method, path and body, only if there is an idempotency key
    bool waitForRun = false; ///< whether the request has the header `Prefer: wait`
    std::optional<Http::Request> fullRequest; ///< copy of the request, only if there is an idempotency key
    bool forwarded = false; ///< whether another host forwarded the request; see Adopt
    std::string host; ///< value of the Host header in lower case, without the port
    std::string model; ///< name of the requested model, may be empty
    std::uint32_t promptTokens = 0;
    std::uint32_t expectedTokens = 0; ///< expected length of the response in tokens, 0 if unknown
    std::vector<std::uint64_t> prefix; ///< hashes of ever longer prefixes of the prompt
    std::vector<std::uint32_t> prefixTokens; ///< number of prompt tokens up to the end of each entry of prefix; may be empty
    std::vector<std::uint64_t> parts; ///< parts of the prompt that other prompts may have too; see sharedParts()
    std::string callerRequestId; ///< the caller's id for the request, for logs; empty if the protocol has none
    std::string resumedRequestId; ///< the caller's id for its earlier request that brought the first event of this stream
    std::string lastEventId; ///< id of the last event that the caller holds from earlier requests, empty if it holds none
    bool streams = false; ///< whether the caller requests a streamed response
    std::uint64_t work = 0; ///< hash of method, path, query and body: equal whenever a caller repeats the request, at any host
    Base::Duration timeLeft {}; ///< how long the caller will wait; zero if the request does not say
    absl::Status error; ///< not OK if the request is invalid for its path or protocol
};

/// Reports that the caller closed its connection before the response was complete.
struct CallerDisconnected
{
    std::uint64_t id = 0;
};

/// Reports the end of a run, with the response if Run::reportResponse asked for it.
struct RunEnded
{
    Request::RunReport report;
    std::optional<Http::Response> response;
};

/// Reports that an endpoint has started a request: when the first token or, without a stream, the response is received.
///
/// It is also sent after a failed run if the endpoint may have started the request.
///
/// It is sent only if RelayOptions::reportRunStarts is set.
struct RunStarted
{
    std::string organisation;
    Base::Instant at {};
};

/// Reports the first token of a run, if Run::reportFirstToken is set.
struct FirstTokenReceived
{
    Peer::AttemptId id;
};

/// Reports what the head of an endpoint's response advertises about the endpoint.
///
/// It is also sent for a response without a rate if Run::reportRate is set.
struct EndpointAdvertised
{
    Peer::AttemptId id;
    std::uint32_t endpoint = 0;
    Request::EndpointAdvertisement advertisement;
};

/// Carries the response to a request that was passed to the relay by Adopt.
struct AdoptedResponse
{
    std::uint64_t token = 0; ///< the token of the Adopt command
    Http::Response response;
};

/// Asks whether a tunnel for another host to @p target may be opened. AllowTunnel is the answer.
struct TunnelRequested
{
    std::uint64_t tunnel = 0;
    std::string target; ///< ip:port
};

using Event = std::variant<CallArrived, CallerDisconnected, RunEnded, RunStarted, FirstTokenReceived, EndpointAdvertised,
                           AdoptedResponse, TunnelRequested>;

// --- Commands to the relay

/// Sends the kept request to an endpoint and passes the endpoint's response on to the caller.
struct Run
{
    Peer::AttemptId id; ///< the request and the number of the attempt that this run executes
    std::string requestName; ///< unique in the fleet
    std::string callerRequestId; ///< the caller's id for the request, empty if the protocol has none
    std::string address; ///< the endpoint's ip:port
    std::string region; ///< the endpoint's region; empty if no regions are configured
    std::string endpoint; ///< the endpoint's name
    std::uint32_t endpointNumber = 0;
    std::string keeper; ///< address of another endpoint from which the run's endpoint may fetch the cached prefix of the prompt;
                        ///< may be empty
    std::string organisation; ///< the caller's organisation, may be empty
    std::string path;
    bool engine = true; ///< whether the endpoint is an engine; otherwise it is a service, which runs no model
    int tierRank = 0; ///< rank of the request's tier; 1 is the highest
    Configuration::UrgencyLevel urgency; ///< for the order of the engine's own queue
    bool repeatable = true; ///< whether the request may run more than once
    bool reportRate = false; ///< whether to send EndpointAdvertised also if the response advertises no rate
    bool reportFirstToken = false; ///< whether to send FirstTokenReceived
    bool reportResponse = false; ///< whether to report the complete response, for later requests with the same idempotency key
    std::string operationKey; ///< the caller's idempotency key, sent to the endpoint; may be empty
    std::string fence; ///< fencing token for endpoints that check the order of runs, may be empty
    Base::Instant startBy {}; ///< time after which the run must not be started
    Base::Instant deadline {}; ///< time by which the response must be complete, for protocols that send it to endpoints
};

/// Ends a call with a response that does not come from an endpoint, usually an error.
struct Respond
{
    std::uint64_t id = 0; ///< id of the call
    Http::Response response;
    bool preferEndpointResponse = false; ///< whether to send the last endpoint's complete error response instead, if there is one
};

/// Cancels the current run of a call and closes the connection to the endpoint. No RunEnded follows.
struct Stop
{
    std::uint64_t id = 0; ///< id of the call
};

/// Starts a call for a request that another host forwarded. The call has no caller's connection here; its response is returned
/// as AdoptedResponse.
struct Adopt
{
    std::uint64_t token = 0; ///< returned with the response
    Http::Request request;
};

/// Answers TunnelRequested.
struct AllowTunnel
{
    std::uint64_t tunnel = 0;
    bool allowed = false;
};

/// Replaces the hosts that open connections to endpoints which this host cannot reach.
struct SetHelpers
{
    std::vector<TunnelHelper> helpers;
};

using Command = std::variant<Run, Respond, Stop, Adopt, AllowTunnel, SetHelpers>;

} // namespace Yokepond::Relay
