// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// A host's information on whether an endpoint accepts requests, from the endpoint's responses.

#pragma once

#include "Availability/advertisedavailability.h"

namespace Yokepond::Availability {

/// The availability information in a message between hosts.
struct AvailabilityInfo
{
    /// Remaining time for which it counts as leaving; zero: it does not; sent in whole milliseconds.
    Base::Duration leavingFor {};
    Base::Duration cooldownFor {}; ///< remaining time of its cooldown for the sender; zero: none; sent in whole milliseconds
};

/// The availability of an endpoint that a host has stored.
struct AvailabilityState
{
    Base::Instant leavingUntil {}; ///< it counts as leaving until then
    Base::Instant cooldownUntil {}; ///< its cooldown for this host ends then

    bool isLeaving(Base::Instant now) const;
    bool isCoolingDown(Base::Instant now) const;

    /// Returns whether nothing may be sent to the endpoint.
    bool isUnavailable(Base::Instant now) const;

    /// Applies what a response advertises; a notice that the endpoint leaves is valid for @p leavingTimeout.
    void apply(Base::Instant now, const AdvertisedAvailability &advertised, Base::Duration leavingTimeout);

    /// Returns the message form.
    AvailabilityInfo info(Base::Instant now) const;
};

} // namespace Yokepond::Availability
