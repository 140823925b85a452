// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// An ask in a dispatcher's queue, and its key, which is unique over all homes. An ask is a home's request to a dispatcher for an
/// endpoint.

#pragma once

#include "Base/time.h"
#include "Configuration/catalogue.h"
#include "Peer/message.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Yokepond::Dispatch {

/// The home that sent an ask: a host that accepted the request, in one of its incarnations.
using Home = Peer::Process;

/// Identifies one attempt of one request in the whole fleet.
struct AskKey
{
    std::uint64_t home = 0; ///< incarnation of the home, unique in the fleet
    Peer::AttemptId id;

    auto operator<=>(const AskKey &) const = default;
};

/// The parameters of a request's class that the dispatcher needs for scheduling.
struct ClassParameters
{
    std::uint32_t number = 0; ///< number of the class
    Configuration::Urgency urgency;
    Base::Duration firstToken {}; ///< target for the time to the first token
    Base::Duration tokenGap {}; ///< target for the time between tokens
    Base::Duration starvationBound {}; ///< wait after which the class gets a guaranteed share
    Base::Duration tightestAbove {}; ///< shortest first-token target of more urgent requests of the pool; zero if there are none
    bool deadlineEndsRun = false; ///< a run that has not ended at the deadline is cancelled
    bool hasTightestGap = false; ///< no class of the pool has a much shorter target for the time between tokens
};

/// An ask with its times converted to the dispatcher's clock.
struct QueuedAsk
{
    AskKey key;
    Home home;
    Peer::Ask ask;
    ClassParameters parameters;
    std::uint32_t weight = 1; ///< weight of the organisation
    Base::Instant received {}; ///< when the ask reached the dispatcher
    Base::Instant arrival {}; ///< when the caller's request reached the home
    Base::Instant deadline {}; ///< deadline of the request
    bool restricted = false; ///< some endpoints may not serve it, see Configuration::Catalogue::restrictsEndpoints()
    bool isGuaranteed = false; ///< it is served now for the guaranteed share of a class past its starvation bound

    /// Returns what decides which endpoints may serve the request.
    Configuration::EndpointCriteria criteria() const
    {
        return {ask.requestClass, ask.organisation, ask.softwareVersion};
    }

    /// Returns whether an earlier run may have served a part of the request, which would be wasted if it were refused.
    bool mayContinue() const
    {
        return key.id.attempt > 1 || ask.softwareVersion != 0;
    }

    /// Returns the time by which the first token must arrive to meet the target.
    Base::Instant target() const
    {
        return arrival + parameters.firstToken;
    }
};

} // namespace Yokepond::Dispatch
