// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// A home's rate information on the endpoints that it sends to.

#pragma once

#include "Configuration/catalogue.h"
#include "Rate/ratestate.h"

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <vector>

namespace Yokepond::Rate {

/// Stores the rate information of endpoints, from their responses and from dispatchers.
class EndpointRates
{
public:
    /// Adopts the cold periods of the configured endpoints, and removes endpoints that are no longer configured.
    void updateView(Base::Instant now, const Configuration::Catalogue &catalogue);

    /// Applies what a response of @p endpoint advertises and logs changes. An unreadable header changes nothing.
    void applyAdvertisement(Base::Instant now, std::uint32_t endpoint, const AdvertisedRate &advertised);

    /// Applies the rate information of a dispatcher on @p endpoint and logs changes.
    void applyUpdate(std::uint32_t endpoint, const RateState &update);

    /// Returns the information on @p endpoint, RateKind::Unknown if there is none.
    RateState stateOf(std::uint32_t endpoint) const;

    /// Returns those of @p endpoints at which this host must not start a run that no dispatcher counts. At a limited endpoint,
    /// each of @p hosts draws at random whether it has the turn, for the time in which the endpoint accepts one run: a fixed
    /// share of its rate would be less than one run in a large fleet. Cold endpoints are used only if all are cold.
    std::set<std::uint32_t> unavailableWithoutDispatcher(Base::Instant now, const std::vector<std::uint32_t> &endpoints,
                                                         std::size_t hosts, std::mt19937_64 &random);

    /// Records that this host starts a run at @p endpoint that no dispatcher counts; it uses up the turn.
    void runStartedWithoutDispatcher(std::uint32_t endpoint);

private:
    /// A random turn of this host at a limited endpoint.
    struct Turn
    {
        Base::Instant validUntil {}; ///< a new turn is drawn afterwards
        bool hasTurn = false; ///< this host may start a run
    };

    bool drawTurn(Base::Instant now, std::uint32_t endpoint, std::size_t hosts, std::mt19937_64 &random);
    /// Returns the period of @p endpoint, an inactive one if it is not cold.
    Configuration::ColdPeriod coldPeriodOf(std::uint32_t endpoint) const;

    std::map<std::uint32_t, RateState> m_rates; ///< by endpoint; RateKind::Unknown is not stored
    std::map<std::uint32_t, Turn> m_turns; ///< by limited endpoint
    std::map<std::uint32_t, Configuration::ColdPeriod> m_coldPeriods; ///< by endpoint; ended periods are not stored
    std::set<std::uint32_t> m_unreadable; ///< endpoints whose last header was unreadable
};

} // namespace Yokepond::Rate
