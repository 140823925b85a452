// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Usage/fleetclock.h"

#include <algorithm>
#include <vector>

namespace Yokepond::Usage {

namespace {

/// Messages between hosts take less than this, and an offset of a twentieth of it does not affect counts in windows of seconds.
constexpr Base::Duration minCorrection = std::chrono::milliseconds(50);

} // namespace

FleetClock::FleetClock(Base::Instant now, FleetTime timeOfDay)
    : m_offset(timeOfDay - now.time_since_epoch().count())
{
}

FleetTime FleetClock::at(Base::Instant instant) const
{
    return m_offset + instant.time_since_epoch().count();
}

Base::Duration FleetClock::correct(Base::Instant now, FleetTime median)
{
    const Base::Duration correction(median - at(now));
    if (std::chrono::abs(correction) < minCorrection) {
        return Base::Duration::zero();
    }
    m_offset += correction.count();
    return correction;
}

Base::Duration medianOffset(std::span<const Base::Duration> offsets)
{
    if (offsets.empty()) {
        return Base::Duration::zero();
    }
    std::vector<Base::Duration> sorted(offsets.begin(), offsets.end());
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::ranges::nth_element(sorted, middle);
    return *middle;
}

} // namespace Yokepond::Usage
