// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Availability/availabilitystate.h"

#include <algorithm>

namespace Yokepond::Availability {

bool AvailabilityState::leaves(Base::Instant now) const
{
    return now < leavesUntil;
}

bool AvailabilityState::rests(Base::Instant now) const
{
    return now < restsUntil;
}

bool AvailabilityState::isClosed(Base::Instant now) const
{
    return leaves(now) || rests(now);
}

void AvailabilityState::applyUpdate(Base::Instant now, const AdvertisedAvailability &stated, Base::Duration leavingKept)
{
    if (stated.leaves) {
        leavesUntil = std::max(leavesUntil, now + leavingKept);
    }
    // A word that came later may end sooner: several may be on their way at once, and the endpoint is held to all of them.
    restsUntil = std::max(restsUntil, now + stated.cooldown);
}

AvailabilityInfo AvailabilityState::info(Base::Instant now) const
{
    return {std::max(Base::Duration::zero(), leavesUntil - now), std::max(Base::Duration::zero(), restsUntil - now)};
}

} // namespace Yokepond::Availability
