// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// A host that is suspended for seconds and wakes: all that is timed must count that time, so that nothing is done on the
/// strength of a lease, a deadline or news that ran out meanwhile. A program of its own, since it puts a clock of its own before
/// the system's.

#include "Base/loop.h"
#include "Base/time.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <ctime>
#include <sys/syscall.h>
#include <unistd.h>

namespace {

std::atomic<std::int64_t> suspendedSeconds = 0;

} // namespace

/// As the kernel tells it after suspensions: the monotonic clock has stood still meanwhile, the boot clock and the time of day
/// have not.
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

TEST_GROUP(Suspension) {void suspend(seconds duration) {suspendedSeconds += duration.count();
}
}
;

TEST(Suspension, theClockOfDecisionsCountsIt)
{
    const Base::Instant before = Base::now();
    suspend(seconds(20));
    const Base::Duration passed = Base::now() - before;
    CHECK_TRUE(passed >= seconds(20));
    CHECK_TRUE(passed < seconds(30));
}

TEST(Suspension, timersThatBecameDueMeanwhileFire)
{
    constexpr int mostTicks = 200;
    Base::Loop loop;
    bool fired = false;
    int ticks = 0;
    const auto late = loop.after(seconds(10), [&] {
        fired = true;
        loop.stop();
    });
    const auto tick = loop.every(std::chrono::milliseconds(5), [&] {
        if (++ticks == mostTicks) {
            loop.stop();
        }
    });
    suspend(seconds(20));
    loop.run();
    CHECK_TRUE(fired);
}
