// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The rates that a home knows of the endpoints it sends to.

#pragma once

#include "Configuration/catalogue.h"
#include "Rate/ratestate.h"

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <vector>

namespace Yokepond::Rate {

class EndpointRates
{
public:
    /// Forgets endpoints that are no more.
    void updateView(const Configuration::Catalogue &catalogue);

    /// An answer of @p endpoint has said @p stated; what is unreadable changes nothing that is known. Logs what changes.
    void said(Base::Instant now, std::uint32_t endpoint, const AdvertisedRate &stated);

    /// A dispatcher knows @p news of @p endpoint.
    void applyUpdate(std::uint32_t endpoint, const RateState &news);

    RateState of(std::uint32_t endpoint) const;

    /// Those of @p endpoints where no run may begin that nobody but this host counts. Each of @p hosts has a turn at a limited
    /// endpoint by lot, for the time in which it takes one run: a fixed part of its rate would be less than one run in a
    /// large fleet.
    std::set<std::uint32_t> closedAlone(Base::Instant now, const std::vector<std::uint32_t> &endpoints, std::size_t hosts,
                                        std::mt19937_64 &random);

    /// A run begins at @p endpoint that nobody but this host counts.
    void startedAlone(std::uint32_t endpoint);

private:
    struct Turn
    {
        Base::Instant drawnUntil {};
        bool mine = false;
    };

    bool drawTurn(Base::Instant now, std::uint32_t endpoint, std::size_t hosts, std::mt19937_64 &random);

    std::map<std::uint32_t, RateState> m_rates; ///< by endpoint; Unknown is not kept
    std::map<std::uint32_t, Turn> m_turns; ///< by limited endpoint
    std::set<std::uint32_t> m_unreadable; ///< endpoints that last stated what is no rate
};

} // namespace Yokepond::Rate
