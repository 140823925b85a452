// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The time of day as most hosts of the fleet see it.

#pragma once

#include "Base/time.h"

#include <cstdint>
#include <span>

namespace Yokepond::Usage {

/// Microseconds since the Unix epoch.
using FleetTime = std::int64_t;

/// Follows the host's steady clock from the time of day at its start, so that steps of the host's time of day do nothing; moved
/// only if the fleet's median is far from it.
class FleetClock
{
public:
    /// @p timeOfDay: the host's, at @p now.
    FleetClock(Base::Instant now, FleetTime timeOfDay);

    FleetTime at(Base::Instant instant) const;

    /// Takes over the fleet's time, as of @p now, if it differs by more than the way of a message can explain. Returns by how
    /// much the clock was moved.
    Base::Duration correct(Base::Instant now, FleetTime median);

private:
    FleetTime m_atEpoch; ///< at the zero of the steady clock
};

/// The median of @p offsets, zero if there are none; hosts whose clocks stepped just before their start are outvoted.
Base::Duration medianOffset(std::span<const Base::Duration> offsets);

} // namespace Yokepond::Usage
