// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Which homes' requests an endpoint takes, by what it has asked them for when it turned their requests away.

#pragma once

#include "Base/time.h"

#include <cstdint>
#include <map>

namespace Yokepond::Dispatch {

/// A refusal of a run has come back to the dispatcher by then, else the run has been taken.
inline constexpr Base::Duration maxRejectionDelay = std::chrono::milliseconds(100);

/// At the dispatcher of one endpoint. A rest is a word to one home; an endpoint that turns away one request after the other is
/// full for all of them. Homes are named by their incarnations.
class Cooldowns
{
public:
    /// The endpoint takes no request of @p home until @p until.
    void startFor(std::uint64_t home, Base::Instant until);

    /// A run of @p home was turned away. Where no rest was named one is assumed, if it is not the first in a row.
    void recordRejection(Base::Instant now, std::uint64_t home);

    /// A run was not turned away.
    void recordAcceptance();

    /// A run of any home is on its way there.
    void recordGrant(Base::Instant now);

    /// Whether a run of @p home may be sent.
    bool allows(Base::Instant now, std::uint64_t home) const;

    /// Whether a run of any home may be sent.
    bool allowsAnyHome(Base::Instant now) const;

    /// From when on a run of @p home may be sent, as far as it is known.
    Base::Instant endFor(std::uint64_t home) const;

    /// Whether some home's runs may not be sent, or the endpoint has not been seen to take requests since then.
    bool isActive(Base::Instant now) const;

    /// Whether it turned away one run after the other, whosever they were, and none has been taken since.
    bool coversAllHomes() const;

    /// Forgets what has ended.
    void removeExpired(Base::Instant now);

private:
    std::map<std::uint64_t, Base::Instant> m_endByHome; ///< by home
    Base::Instant m_endForAll {};
    Base::Instant m_lastGrant {};
    std::uint32_t m_consecutiveRejections = 0; ///< in a row
};

} // namespace Yokepond::Dispatch
