// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The interface of a relay protocol: the format of callers' requests and of endpoints' responses.

#pragma once

#include "Http/client.h"
#include "Http/message.h"
#include "Relay/call.h"

#include <concepts>
#include <optional>
#include <string>

namespace Yokepond::Relay {

/// The status code and the headers of an endpoint's response.
struct ResponseHead
{
    int status = 0; ///< 0 if no status line has been received
    Http::Headers headers;
};

/// How the relay treats an endpoint's response; determined by the response's head.
enum class ResponseKind {
    Events, ///< a stream of server-sent events, which are passed on one by one
    Body, ///< an ordinary response, which is passed on when it is complete
    Rejected, ///< the endpoint reports that it did not run the request
    EndpointReplaced, ///< the address now belongs to another endpoint, which did not run the request; the intended one no longer
                      ///< exists
    Failed, ///< an error of the endpoint, or not a response to this request
};

/// A protocol between callers, the relay and endpoints. It parses callers' requests, builds the requests to endpoints, and
/// classifies endpoints' responses. `State` is what the protocol keeps of a request, in addition to the request's bytes.
template<typename P>
concept Protocol
    = requires(const P protocol, typename P::State &state, const typename P::State &constState, const Http::Request &request,
               CallArrived &event, const Run &run, const ResponseHead &head, const std::string &lastEventId) {
          /// Parses the request and fills in the event's fields.
          protocol.describeRequest(request, state, event);
          /// Returns the request to send to the endpoint. @p lastEventId is the id of the last event sent to the caller; it is
          /// empty before the first event.
          {
              protocol.buildTransfer(constState, request, run, lastEventId)
          } -> std::same_as<Http::Transfer>;
          /// Returns a request to the same endpoint for the remaining events of an interrupted stream, or nothing if the protocol
          /// cannot resume streams.
          {
              protocol.buildResumeTransfer(run, lastEventId)
          } -> std::same_as<std::optional<Http::Transfer>>;
          /// Returns how to treat the response.
          {
              protocol.classifyResponse(run, head)
          } -> std::same_as<ResponseKind>;
          /// Returns the rate limit and the availability that the response advertises for its endpoint. It is not called for
          /// ResponseKind::EndpointReplaced, which comes from another endpoint.
          {
              protocol.advertisement(run, head)
          } -> std::same_as<Request::EndpointAdvertisement>;
          /// Returns the headers to send to the caller with a stream.
          {
              protocol.streamHeaders(run, head)
          } -> std::same_as<Http::Headers>;
          /// Returns the headers to send to the caller with a complete body.
          {
              protocol.bodyHeaders(run, head)
          } -> std::same_as<Http::Headers>;
          /// Whether endpoints get the request's body unchanged. The relay then adds it to the transfer, without a copy.
          {
              P::forwardsBody
          } -> std::convertible_to<bool>;
          /// Whether the last event of a stream is marked as such; otherwise a stream ends with the transfer.
          {
              P::marksLastEvent
          } -> std::convertible_to<bool>;
          /// Whether a body of unknown length is complete when the endpoint closes the connection cleanly.
          {
              P::closeEndsBody
          } -> std::convertible_to<bool>;
          /// Whether a stream to the caller reports the outcome of the request: in a trailer if the request completed, or in an
          /// error event if it failed. Otherwise the connection is closed if the request fails.
          {
              P::streamCarriesOutcome
          } -> std::convertible_to<bool>;
      };

} // namespace Yokepond::Relay
