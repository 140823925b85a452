// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// What a home knows of whether the endpoints that it sends to take requests.

#pragma once

#include "Availability/availabilitystate.h"
#include "Configuration/catalogue.h"

#include <cstdint>
#include <map>
#include <set>

namespace Yokepond::Availability {

/// What an endpoint has said outlives its entry in the configuration, which may be dropped and come back.
class EndpointAvailabilities
{
public:
    /// The present endpoints, and for how long one that has said that it leaves is believed to.
    void updateView(const Configuration::Catalogue &catalogue);

    /// An answer of @p endpoint has said @p stated; what is unreadable changes nothing that is known. Logs what changes. Returns
    /// whether it said anything.
    bool said(Base::Instant now, std::uint32_t endpoint, const AdvertisedAvailability &stated);

    AvailabilityState of(std::uint32_t endpoint) const;

    /// Endpoints to which nothing may be sent.
    std::set<std::uint32_t> closed(Base::Instant now) const;

    /// Forgets what has ended.
    void tick(Base::Instant now);

private:
    Base::Duration m_leavingKept = Configuration::Policies().leavingTimeout;
    std::map<std::uint32_t, AvailabilityState> m_known; ///< by endpoint
    std::set<std::uint32_t> m_unreadable; ///< endpoints that last said what is not known
};

} // namespace Yokepond::Availability
