// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Availability/availabilitystate.h"

#include <algorithm>

namespace Yokepond::Availability {

bool AvailabilityState::isLeaving(Base::Instant now) const
{
    return now < leavingUntil;
}

bool AvailabilityState::isCoolingDown(Base::Instant now) const
{
    return now < cooldownUntil;
}

bool AvailabilityState::isUnavailable(Base::Instant now) const
{
    return isLeaving(now) || isCoolingDown(now);
}

void AvailabilityState::apply(Base::Instant now, const AdvertisedAvailability &advertised, Base::Duration leavingTimeout)
{
    if (advertised.leaves) {
        leavingUntil = std::max(leavingUntil, now + leavingTimeout);
    }
    // Several responses may be in flight at once. A later one may ask for a shorter cooldown; the longest one applies.
    cooldownUntil = std::max(cooldownUntil, now + advertised.cooldown);
}

AvailabilityInfo AvailabilityState::info(Base::Instant now) const
{
    return {std::max(Base::Duration::zero(), leavingUntil - now), std::max(Base::Duration::zero(), cooldownUntil - now)};
}

} // namespace Yokepond::Availability
