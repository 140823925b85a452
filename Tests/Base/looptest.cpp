// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Base/loop.h"

#include "Base/time.h"

// This header must come before CppUTest, whose macros for operator new break the declarations in ACE's headers.
#include <ace/Timer_Queue.h>

#include <functional>
#include <memory>
#include <vector>

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

/// Guards against a handle that cancels the timer of another handle when it is destroyed after its own timer has fired. ACE gives
/// the number of a timer that has fired to another one.
TEST(Loop, aHandleWhoseTimerHasFiredCancelsNoOther)
{
    constexpr std::size_t maxTimersBetween = 200;
    for (std::size_t timersBetween = 1; timersBetween < maxTimersBetween; ++timersBetween) {
        Base::Loop loop;
        auto fired = loop.after(std::chrono::milliseconds(0), [&] { loop.stop(); });
        loop.run();
        loop.reactor().reset_reactor_event_loop();
        std::vector<std::unique_ptr<Base::Loop::Registration>> others;
        std::size_t count = 0;
        for (std::size_t index = 0; index < timersBetween; ++index) {
            others.push_back(loop.after(std::chrono::milliseconds(0), [&] { ++count; }));
        }
        fired.reset();
        const auto limit = loop.after(std::chrono::milliseconds(2), [&] { loop.stop(); });
        loop.run();
        CHECK_EQUAL(timersBetween, count);
    }
}

/// Guards against the same inside the task of the timer, which sets the next one under the same handle.
TEST(Loop, aTaskThatReplacesItsHandleKeepsTheNewTimer)
{
    Base::Loop loop;
    constexpr int timers = 500;
    int count = 0;
    std::unique_ptr<Base::Loop::Registration> timer;
    std::function<void()> task = [&] {
        if (++count == timers) {
            loop.stop();
            return;
        }
        timer = loop.after(std::chrono::milliseconds(0), task);
    };
    const auto limit = loop.after(std::chrono::seconds(10), [&] { loop.stop(); });
    timer = loop.after(std::chrono::milliseconds(0), task);
    loop.run();
    CHECK_EQUAL(timers, count);
}

TEST(Loop, aHandleThatIsDestroyedInTimeCancelsItsTimer)
{
    Base::Loop loop;
    int fired = 0;
    auto once = loop.after(std::chrono::milliseconds(1), [&] { ++fired; });
    std::unique_ptr<Base::Loop::Registration> every;
    every = loop.every(std::chrono::milliseconds(1), [&] { every.reset(); });
    once.reset();
    const auto limit = loop.after(std::chrono::milliseconds(20), [&] { loop.stop(); });
    loop.run();
    CHECK_EQUAL(0, fired);
    CHECK_TRUE(every == nullptr);
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
