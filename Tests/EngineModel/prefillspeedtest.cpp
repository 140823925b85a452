// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "EngineModel/prefillspeed.h"

#include <chrono>

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::EngineModel;

namespace {

constexpr double initialTokensPerMs = 30.0;

/// Returns a prefill of @p tokens that took place at @p tokensPerMs.
CompletedPrefill prefillAt(double tokensPerMs, double tokens)
{
    return {tokens, std::chrono::duration_cast<Base::Duration>(std::chrono::duration<double, std::milli>(tokens / tokensPerMs))};
}

} // namespace

TEST_GROUP(PrefillSpeed) {};

/// Guards against an initial value that is used though the pool's engines have shown another one.
TEST(PrefillSpeed, oneLongPrefillReplacesMostOfThePoolsInitialValue)
{
    PrefillSpeed pool = poolPrefillSpeed();
    DOUBLES_EQUAL(initialTokensPerMs, pool.tokensPerMs(), 0.001);
    pool.add(prefillAt(15, 15'000));
    DOUBLES_EQUAL(15, pool.tokensPerMs(), 1);
}

/// Guards against a single disturbed prefill that makes an engine look unusable.
TEST(PrefillSpeed, thePoolsSpeedCountsAsMuchAsATypicalPrefillOfAnEngine)
{
    PrefillSpeed engine = enginePrefillSpeed(40);
    DOUBLES_EQUAL(40, engine.tokensPerMs(), 0.001);
    engine.add({0.2 * 40 * 200, std::chrono::milliseconds(200)});
    CHECK_TRUE(engine.tokensPerMs() > 20);
    CHECK_TRUE(engine.tokensPerMs() < 30);
}

/// Guards against estimates towards the best prefills: engines believed too fast get more prompts than they can prefill.
TEST(PrefillSpeed, fastAndSlowPrefillsHaveTheSameWeightForEachMillisecond)
{
    PrefillSpeed engine = enginePrefillSpeed(initialTokensPerMs);
    for (int pair = 0; pair < 400; ++pair) {
        engine.add({45 * 10.0, std::chrono::milliseconds(10)});
        engine.add({15 * 10.0, std::chrono::milliseconds(10)});
    }
    DOUBLES_EQUAL(30, engine.tokensPerMs(), 0.5);
    // Prompts of the same length take longer at the slow speed, so that is the speed of most of the time.
    PrefillSpeed pool = poolPrefillSpeed();
    for (int pair = 0; pair < 400; ++pair) {
        pool.add(prefillAt(45, 4'500));
        pool.add(prefillAt(15, 4'500));
    }
    DOUBLES_EQUAL(22.5, pool.tokensPerMs(), 0.5);
}

/// Guards against an engine that slows down and still gets as many prompts as before.
TEST(PrefillSpeed, anEngineThatSlowsDownIsBelievedWithinSecondsOfPrefill)
{
    PrefillSpeed engine = enginePrefillSpeed(initialTokensPerMs);
    for (int prompt = 0; prompt < 100; ++prompt) {
        engine.add(prefillAt(40, 8'000));
    }
    DOUBLES_EQUAL(40, engine.tokensPerMs(), 0.5);
    for (int prompt = 0; prompt < 10; ++prompt) {
        engine.add(prefillAt(10, 8'000));
    }
    DOUBLES_EQUAL(10, engine.tokensPerMs(), 1);
}

/// Guards against invalid or extreme observations: a speed of zero or infinity would stop or overload an engine for good.
TEST(PrefillSpeed, extremeObservationsAreLimited)
{
    PrefillSpeed engine = enginePrefillSpeed(initialTokensPerMs);
    engine.add({17'000, Base::Duration::zero()});
    engine.add({17'000, std::chrono::milliseconds(-5)});
    DOUBLES_EQUAL(initialTokensPerMs, engine.tokensPerMs(), 0.001);
    engine.add({1'000, std::chrono::hours(1)});
    CHECK_TRUE(engine.tokensPerMs() >= 1);
    PrefillSpeed fast = enginePrefillSpeed(initialTokensPerMs);
    for (int prompt = 0; prompt < 1'000; ++prompt) {
        fast.add({1'000'000, std::chrono::milliseconds(1)});
    }
    CHECK_TRUE(fast.tokensPerMs() <= 1'000);
}
