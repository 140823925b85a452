// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Base/loop.h"

#include "Base/time.h"

// This header must come before CppUTest, whose macros for operator new break the declarations in ACE's headers.
#include <ace/Timer_Queue.h>

#include <CppUTest/TestHarness.h>

using namespace Yokepond;

TEST_GROUP(Loop) {};

TEST(Loop, timersDoNotUseTheTimeOfDay)
{
    Base::Loop loop;
    const ACE_Time_Value queues = loop.reactor().timer_queue()->gettimeofday();
    const auto steady = std::chrono::duration_cast<std::chrono::seconds>(Base::now().time_since_epoch()).count();
    CHECK_TRUE(queues.sec() >= steady - 1 && queues.sec() <= steady + 1);
}

TEST(Loop, timersFire)
{
    Base::Loop loop;
    int fired = 0;
    const auto every = loop.every(std::chrono::milliseconds(1), [&] {
        if (++fired == 3) {
            loop.stop();
        }
    });
    loop.run();
    CHECK_EQUAL(3, fired);
}
