// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Guards against a host that acts on an expired lease, deadline or report after it was suspended for some seconds. Clocks and
/// timers must count the time of the suspension. This is a separate program because it replaces the system's clock function.

#include "Base/loop.h"
#include "Base/time.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <ctime>
#include <sys/syscall.h>
#include <unistd.h>

namespace {

std::atomic<std::int64_t> suspendedSeconds = 0;

void suspend(std::chrono::seconds duration)
{
    suspendedSeconds += duration.count();
}

} // namespace

/// Returns the times that the kernel has after suspensions: the boot-time clock and the time of day include them, the monotonic
/// clock does not.
extern "C" int clock_gettime(clockid_t clock, timespec *time) noexcept
{
    const auto result = static_cast<int>(syscall(SYS_clock_gettime, clock, time));
    if (clock == CLOCK_BOOTTIME || clock == CLOCK_REALTIME) {
        time->tv_sec += suspendedSeconds;
    }
    return result;
}

using namespace Yokepond;
using std::chrono::seconds;

TEST_GROUP(Suspension) {};

TEST(Suspension, clockCountsSuspendedTime)
{
    const Base::Instant before = Base::now();
    suspend(seconds(20));
    const Base::Duration passed = Base::now() - before;
    CHECK_TRUE(passed >= seconds(20));
    CHECK_TRUE(passed < seconds(30));
}

TEST(Suspension, timersThatExpiredDuringSuspensionFire)
{
    constexpr int maxTicks = 200;
    Base::Loop loop;
    bool fired = false;
    int ticks = 0;
    const auto late = loop.after(seconds(10), [&] {
        fired = true;
        loop.stop();
    });
    const auto tick = loop.every(std::chrono::milliseconds(5), [&] {
        if (++ticks == maxTicks) {
            loop.stop();
        }
    });
    suspend(seconds(20));
    loop.run();
    CHECK_TRUE(fired);
}
