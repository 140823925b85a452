// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Cooldowns of an endpoint. A cooldown is a time in which the endpoint accepts no requests, which it can advertise to a home
/// when it rejects a run.

#pragma once

#include "Base/time.h"

#include <cstdint>
#include <map>

namespace Yokepond::Dispatch {

/// If a rejection has not reached the dispatcher within this time after the grant, the endpoint has accepted the run.
inline constexpr Base::Duration maxRejectionDelay = std::chrono::milliseconds(100);

/// The dispatcher's state of the cooldowns of one endpoint. An advertised cooldown applies to one home. An endpoint that rejects
/// several runs in a row counts as full for all homes. Homes are identified by their incarnations.
class Cooldowns
{
public:
    /// Records that the endpoint advertised to @p home a cooldown that ends at @p until. A shorter one does not replace a longer
    /// one.
    void startFor(std::uint64_t home, Base::Instant until);

    /// Records that the endpoint rejected a run of @p home. After several rejections in a row it starts a cooldown for all homes,
    /// with a default duration if the endpoint advertised none.
    void recordRejection(Base::Instant now, std::uint64_t home);

    /// Records that the endpoint accepted a run, which ends the row of rejections.
    void recordAcceptance();

    /// Records that a run of any home has been granted.
    void recordGrant(Base::Instant now);

    /// Returns whether a run of @p home may be sent.
    bool allows(Base::Instant now, std::uint64_t home) const;

    /// Returns whether runs may be sent at all, apart from the cooldowns of single homes.
    bool allowsAnyHome(Base::Instant now) const;

    /// Returns the end of the cooldown for @p home; a time in the past if there is none.
    Base::Instant endFor(std::uint64_t home) const;

    /// Returns whether a home has a cooldown, or the endpoint has accepted no run since its cooldown for all homes.
    bool isActive(Base::Instant now) const;

    /// Returns whether the endpoint rejected several runs in a row, of any homes, and has accepted none since.
    bool coversAllHomes() const;

    /// Removes the cooldowns of single homes that have ended.
    void removeExpired(Base::Instant now);

private:
    std::map<std::uint64_t, Base::Instant> m_endByHome;
    Base::Instant m_endForAll {};
    Base::Instant m_lastGrant {};
    std::uint32_t m_consecutiveRejections = 0;
};

} // namespace Yokepond::Dispatch
