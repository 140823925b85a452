// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The relay protocol for OpenAI-style completions by engines, and for services, which run no model. docs/CALLERS.md describes it
/// for callers.

#pragma once

#include "Relay/protocol.h"

#include <nlohmann/json.hpp>

namespace Yokepond::Relay {

/// Response header of an endpoint: the requests per second that it accepts from all hosts together.
inline constexpr std::string_view advertisedRateHeader = "yokepond-requests-per-second";
/// Response header of an endpoint: `1` if it accepts no further requests because it is about to shut down.
inline constexpr std::string_view leavingHeader = "yokepond-leaving";

/// Implements the Protocol concept, which documents the functions.
class OpenAiProtocol
{
public:
    struct State
    {
        nlohmann::json body; ///< parsed body of a completion request; null for other requests
    };

    static constexpr bool forwardsBody = false;
    static constexpr bool marksLastEvent = true;
    static constexpr bool closeEndsBody = false;
    static constexpr bool streamCarriesOutcome = true;

    void describeRequest(const Http::Request &request, State &state, CallArrived &event) const;
    Http::Transfer buildTransfer(const State &state, const Http::Request &request, const Run &run,
                                 const std::string &lastEventId) const;
    std::optional<Http::Transfer> buildResumeTransfer(const Run &run, const std::string &lastEventId) const;
    ResponseKind classifyResponse(const Run &run, const ResponseHead &head) const;
    Request::EndpointAdvertisement advertisement(const Run &run, const ResponseHead &head) const;
    Http::Headers streamHeaders(const Run &run, const ResponseHead &head) const;
    Http::Headers bodyHeaders(const Run &run, const ResponseHead &head) const;
};

static_assert(Protocol<OpenAiProtocol>);

} // namespace Yokepond::Relay
