// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The time types of all decision code: microseconds on a clock that never goes back.

#pragma once

#include <chrono>
#include <ctime>

namespace Yokepond::Base {

using Duration = std::chrono::microseconds;

/// A point on the host's clock since boot. Instants of two hosts cannot be compared.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// The present instant; decision code gets it as an argument and never calls this.
inline Instant now()
{
    // std::chrono::steady_clock stands still while a host is suspended: on waking, a lease that ran out would still look held.
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return Instant(
        std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

/// @p duration in milliseconds, with a fraction.
inline double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// @p duration in seconds, with a fraction.
inline double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Microseconds since the Unix epoch, for records that people and other hosts read; never used to decide.
inline std::int64_t wallMicroseconds()
{
    return std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace Yokepond::Base
