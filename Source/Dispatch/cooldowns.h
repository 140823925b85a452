// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Cooldowns of an endpoint. When an endpoint rejects a run, it can advertise a cooldown: a time in which it accepts no runs of
/// that run's home.

#pragma once

#include "Base/time.h"

#include <cstdint>
#include <map>

namespace Yokepond::Dispatch {

/// If a rejection has not reached the dispatcher within this time after the grant, the endpoint has accepted the run.
inline constexpr Base::Duration maxRejectionDelay = std::chrono::milliseconds(100);

/// The dispatcher's state of the cooldowns of one endpoint. An advertised cooldown applies to one home. An endpoint that rejects
/// several runs in a row, of any homes, counts as full and gets a cooldown for all homes. It stays full until it accepts a run.
/// Homes are identified by their incarnations.
class Cooldowns
{
public:
    /// Records that the endpoint advertised to @p home a cooldown that ends at @p until. A shorter one does not replace a longer
    /// one.
    void startFor(std::uint64_t home, Base::Instant until);

    /// Records that the endpoint rejected a run of @p home. If it is now full, starts a cooldown for all homes. It has the
    /// duration that was advertised to @p home, or else a default one. A @p brittle endpoint, which falls over if it has to
    /// reject many runs, counts as full at once.
    void recordRejection(Base::Instant now, std::uint64_t home, bool brittle = false);

    /// Records that the endpoint accepted a run, so it is not full any more.
    void recordAcceptance();

    /// Records that a run of any home has been granted.
    void recordGrant(Base::Instant now);

    /// Returns whether a run of @p home may be sent.
    bool allows(Base::Instant now, std::uint64_t home) const;

    /// Returns whether runs may be sent at all, apart from the cooldowns of single homes.
    bool allowsAnyHome(Base::Instant now) const;

    /// Returns the end of the cooldown for @p home; a time in the past if there is none.
    Base::Instant endFor(std::uint64_t home) const;

    /// Returns whether any home has a cooldown, or the endpoint is full.
    bool restrictsAnyHome(Base::Instant now) const;

    /// Returns whether the endpoint rejected several runs in a row and has accepted none since. It can still be full after its
    /// cooldown.
    bool isFull() const;

    /// Removes the cooldowns of single homes that have ended.
    void removeExpired(Base::Instant now);

private:
    std::map<std::uint64_t, Base::Instant> m_endByHome;
    Base::Instant m_fullUntil {};
    Base::Instant m_lastGrant {};
    std::uint32_t m_consecutiveRejections = 0;
};

} // namespace Yokepond::Dispatch
