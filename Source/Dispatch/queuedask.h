// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// An ask in a dispatcher's queue, and the name that is unique over all homes.

#pragma once

#include "Base/time.h"
#include "Peer/message.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Yokepond::Dispatch {

/// Who asks: a host in one of its incarnations.
struct Home
{
    std::string name;
    std::uint64_t incarnation = 0;

    auto operator<=>(const Home &) const = default;
};

/// Names one try of one request in the whole fleet.
struct AskKey
{
    std::uint64_t home = 0; ///< incarnation, which is unique
    Peer::AttemptId id;

    auto operator<=>(const AskKey &) const = default;
};

/// What of the request's class decides about its order.
struct ClassParameters
{
    std::uint32_t number = 0;
    int rank = 0; ///< of the tier; 1 is the highest
    Base::Duration firstToken {}; ///< target
    Base::Duration tokenGap {}; ///< target
    Base::Duration starvationBound {};
    Base::Duration tightestAbove {}; ///< first-token target of the tiers above in the pool, zero if there is none
};

/// An ask with its times on the dispatcher's clock.
struct QueuedAsk
{
    AskKey key;
    Home home;
    Peer::Ask ask;
    ClassParameters parameters;
    std::uint32_t weight = 1; ///< of the organisation
    Base::Instant received {};
    Base::Instant arrival {}; ///< of the caller's request
    Base::Instant deadline {};

    /// When the first token must have come for the target to be met.
    Base::Instant target() const
    {
        return arrival + parameters.firstToken;
    }
};

} // namespace Yokepond::Dispatch
