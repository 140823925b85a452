// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// What a host knows of whether an endpoint takes requests, by the endpoint's own answers.

#pragma once

#include "Availability/advertisedavailability.h"

namespace Yokepond::Availability {

/// What one host tells another.
struct AvailabilityInfo
{
    Base::Duration leavingFor {}; ///< it is taken to leave for so long; zero: not; sent in whole milliseconds, as the next
    Base::Duration cooldownFor {}; ///< for so long it takes no request of the sender; zero: it may
};

struct AvailabilityState
{
    Base::Instant leavesUntil {}; ///< until then it is taken to leave
    Base::Instant restsUntil {}; ///< until then it takes no request of this host

    bool leaves(Base::Instant now) const;
    bool rests(Base::Instant now) const;

    /// Whether nothing may be sent to it.
    bool isClosed(Base::Instant now) const;

    /// Takes in what an answer states; that it leaves is believed for @p leavingKept.
    void applyUpdate(Base::Instant now, const AdvertisedAvailability &stated, Base::Duration leavingKept);

    AvailabilityInfo info(Base::Instant now) const;
};

} // namespace Yokepond::Availability
