// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The time of day on which most hosts of the fleet agree.

#pragma once

#include "Base/time.h"

#include <cstdint>
#include <span>

namespace Yokepond::Usage {

/// Microseconds since the Unix epoch.
using FleetTime = std::int64_t;

/// A clock that starts with the host's time of day and then follows its monotonic clock, so that later steps of the time of day
/// have no effect. It is corrected only if the median of the fleet's clocks differs too much.
class FleetClock
{
public:
    /// @p timeOfDay is the host's time of day at @p now.
    FleetClock(Base::Instant now, FleetTime timeOfDay);

    FleetTime at(Base::Instant instant) const;

    /// Sets the clock to @p median, the fleet's time at @p now, if they differ by more than the delay of a message can explain.
    /// Returns the correction, or zero if there was none.
    Base::Duration correct(Base::Instant now, FleetTime median);

private:
    FleetTime m_offset; ///< fleet time at the zero of the monotonic clock
};

/// Returns the median of @p offsets, or zero if there are none. A few hosts whose clocks stepped just before their start do not
/// affect it.
Base::Duration medianOffset(std::span<const Base::Duration> offsets);

} // namespace Yokepond::Usage
