// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The time types of all decision code, in microseconds on a monotonic clock.

#pragma once

#include <chrono>
#include <ctime>

namespace Yokepond::Base {

using Duration = std::chrono::microseconds;

/// A time point on the host's boot-time clock. Instants of different hosts cannot be compared.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Returns the current time. Decision code gets the time as an argument and never calls this function.
inline Instant now()
{
    // std::chrono::steady_clock stops while the host is suspended. After resuming, an expired lease would still appear valid.
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return Instant(
        std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

/// Returns @p duration in milliseconds, with a fraction.
inline double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// Returns @p duration in seconds, with a fraction.
inline double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Returns the microseconds since the Unix epoch. Used in records for people and other hosts, and never for decisions.
inline std::int64_t wallMicroseconds()
{
    return std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace Yokepond::Base
