// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The product's own form of requests: OpenAI-style completions, and plain services beside them. docs/CALLERS.md tells it.

#pragma once

#include "Relay/protocol.h"

#include <nlohmann/json.hpp>

namespace Yokepond::Relay {

/// Of an endpoint's answer: the requests a second that it takes from all hosts together.
inline constexpr std::string_view advertisedRateHeader = "yokepond-requests-per-second";
/// Of an endpoint's answer: `1` where it takes no further requests, since it is about to end.
inline constexpr std::string_view leavingHeader = "yokepond-leaving";

class OpenAiProtocol
{
public:
    struct State
    {
        nlohmann::json body; ///< of a completion
    };

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
