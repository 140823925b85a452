// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// What the relay needs to know of the form of callers' requests and endpoints' answers.

#pragma once

#include "Http/client.h"
#include "Http/message.h"
#include "Relay/call.h"

#include <concepts>
#include <optional>
#include <string>

namespace Yokepond::Relay {

/// The status line and the headers of an endpoint's answer.
struct ResponseHead
{
    int status = 0; ///< 0 if none has come
    Http::Headers headers;
};

/// What an endpoint's answer is to its caller, by its head.
enum class ResponseKind {
    Events, ///< a stream of server-sent events, passed on one by one
    Body, ///< passed on when it is whole
    Rejected, ///< the endpoint says that it did not run the request
    EndpointReplaced, ///< another endpoint answers at the address and did not run the request; the one that was meant is no more
    Failed, ///< an error of the endpoint, or not an answer to this request
};

/// The form of callers' requests and of endpoints' answers. `State` is what it keeps of a request beside its bytes.
template<typename P>
concept Protocol
    = requires(const P protocol, typename P::State &state, const typename P::State &constant, const Http::Request &request,
               CallArrived &event, const Run &run, const ResponseHead &head, const std::string &lastEventId) {
          /// Fills in what the request says of itself.
          protocol.describeRequest(request, state, event);
          /// The request as the endpoint gets it; @p lastEventId is the last event the caller has, empty before the first.
          {
              protocol.buildTransfer(constant, request, run, lastEventId)
          } -> std::same_as<Http::Transfer>;
          /// Asks the same endpoint for the rest of a stream that broke off; nothing if the protocol knows no such request.
          {
              protocol.buildResumeTransfer(run, lastEventId)
          } -> std::same_as<std::optional<Http::Transfer>>;
          {
              protocol.classifyResponse(run, head)
          } -> std::same_as<ResponseKind>;
          /// What the endpoint says of itself. @p head is not ResponseKind::EndpointReplaced, which is another endpoint's.
          {
              protocol.advertisement(run, head)
          } -> std::same_as<Request::EndpointAdvertisement>;
          /// The headers the caller gets with a stream, and with a whole body.
          {
              protocol.streamHeaders(run, head)
          } -> std::same_as<Http::Headers>;
          {
              protocol.bodyHeaders(run, head)
          } -> std::same_as<Http::Headers>;
          /// Whether the last event of a stream is marked; else a stream ends with the transfer.
          {
              P::marksLastEvent
          } -> std::convertible_to<bool>;
          /// Whether a body without a length is whole when its connection was closed in order.
          {
              P::closeEndsBody
          } -> std::convertible_to<bool>;
          /// Whether a stream tells its outcome within itself: by a trailer, or by an error event where it fails. Else a stream
          /// that fails is cut.
          {
              P::streamCarriesOutcome
          } -> std::convertible_to<bool>;
      };

} // namespace Yokepond::Relay
