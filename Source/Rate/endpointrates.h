// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The rates that a home knows of the endpoints it sends to.

#pragma once

#include "Configuration/catalogue.h"
#include "Rate/knownrate.h"

#include <cstdint>
#include <map>
#include <set>

namespace Yokepond::Rate {

class EndpointRates
{
public:
    /// Forgets endpoints that are no more.
    void updateView(const Configuration::Catalogue &catalogue);

    /// An answer of @p endpoint has said @p stated; what is unreadable changes nothing that is known. Logs what changes.
    void said(Base::Instant now, std::uint32_t endpoint, const StatedRate &stated);

    KnownRate of(std::uint32_t endpoint) const;

private:
    std::map<std::uint32_t, KnownRate> m_rates; ///< by endpoint; Unknown is not kept
    std::set<std::uint32_t> m_unreadable; ///< endpoints that last stated what is no rate
};

} // namespace Yokepond::Rate
