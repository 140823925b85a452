// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Availability/knownavailability.h"

#include <algorithm>

namespace Yokepond::Availability {

bool KnownAvailability::leaves(Base::Instant now) const
{
    return now < leavesUntil;
}

bool KnownAvailability::rests(Base::Instant now) const
{
    return now < restsUntil;
}

bool KnownAvailability::isClosed(Base::Instant now) const
{
    return leaves(now) || rests(now);
}

void KnownAvailability::hear(Base::Instant now, const StatedAvailability &stated, Base::Duration leavingKept)
{
    if (stated.leaves) {
        leavesUntil = std::max(leavesUntil, now + leavingKept);
    }
    // A word that came later may end sooner: several may be on their way at once, and the endpoint is held to all of them.
    restsUntil = std::max(restsUntil, now + stated.rest);
}

AvailabilityWord KnownAvailability::word(Base::Instant now) const
{
    return {std::max(Base::Duration::zero(), leavesUntil - now), std::max(Base::Duration::zero(), restsUntil - now)};
}

} // namespace Yokepond::Availability
