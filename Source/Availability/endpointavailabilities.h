// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// A home's information on whether the endpoints that it sends to accept requests.

#pragma once

#include "Availability/availabilitystate.h"
#include "Configuration/catalogue.h"

#include <cstdint>
#include <map>
#include <set>

namespace Yokepond::Availability {

/// Stores the availability of endpoints. The state of an endpoint is kept when its entry in the configuration is removed, since
/// the entry may be added again.
class EndpointAvailabilities
{
public:
    /// Sets the configured endpoints, and the time for which an endpoint that announced its leaving counts as leaving.
    void updateView(const Configuration::Catalogue &catalogue);

    /// Applies what a response of @p endpoint advertises and logs changes. Unreadable headers change nothing. Returns whether the
    /// response announced that the endpoint leaves or asked for a cooldown.
    bool applyAdvertisement(Base::Instant now, std::uint32_t endpoint, const AdvertisedAvailability &advertised);

    /// Returns the state of @p endpoint, available if there is none.
    AvailabilityState stateOf(std::uint32_t endpoint) const;

    /// Returns the endpoints to which nothing may be sent.
    std::set<std::uint32_t> unavailableEndpoints(Base::Instant now) const;

    /// Removes endpoints that are available again.
    void tick(Base::Instant now);

private:
    Base::Duration m_leavingTimeout = Configuration::Policies().leavingTimeout;
    std::map<std::uint32_t, AvailabilityState> m_states; ///< by endpoint
    std::set<std::uint32_t> m_unreadable; ///< endpoints whose last headers were unreadable
};

} // namespace Yokepond::Availability
