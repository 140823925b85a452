// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The load of tight streams beside long prompts, on a dispatcher and a simple model of engines. Tight streams are those that
/// allow only short pauses between their events. The patterns are in a table, each named by its comment.

#include "Dispatch/streamload.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

using namespace Yokepond;
using namespace Yokepond::Tests;
using Base::Duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t engines = 20;
constexpr std::uint32_t longPrompt = 15'000; ///< half a second of prefill
constexpr double longPrefillSeconds = longPrompt / LoadSimulation::tokensPerMs / 1000;
constexpr std::size_t tight = 0; ///< index of the callers in the patterns
constexpr std::size_t longer = 1;
constexpr double shareOfTight = 0.95; ///< of tight streams that have no pause over their target
constexpr double shareOfLong = 0.9; ///< of long requests whose first token comes in time

/// Streams of three seconds, forty at a time, with pauses of at most 200 ms.
Callers tightCallers()
{
    return {1, milliseconds(1500), milliseconds(200), seconds(30), 1000, 75, 13};
}

/// Long prompts whose prefill takes @p load of the time of @p count engines.
Callers longCallers(double load, double count = engines)
{
    return {3, seconds(3), seconds(1), seconds(15), longPrompt, 30, load * count / longPrefillSeconds};
}

} // namespace

TEST_GROUP(StreamLoad) {};

/// Urgent streams with tight pauses beside long prompts of a low tier: guards against streams that all engines make late, and
/// against long prompts that wait beside engines with room.
TEST(StreamLoad, tightStreamsBesideLongPromptsOfALowTier)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        LoadSimulation simulation({seed, {tightCallers(), longCallers(0.6)}, seconds(40)}, settling);
        simulation.run();
        CHECK_TRUE(simulation.results(tight).shareOfPauses() >= shareOfTight);
        CHECK_TRUE(simulation.results(longer).shareOfFirstTokens() >= shareOfLong);
        CHECK_EQUAL(0U, simulation.results(tight).refused);
        CHECK_EQUAL(0U, simulation.results(longer).refused);
    }
}

/// Three times the capacity of long prompts, and half of those refused come back after the time that they were told: guards
/// against a collapse, in which engines prefill prompts that end too late, and against refusals of the high tier.
TEST(StreamLoad, threeTimesTheCapacityWithCallersWhoComeBack)
{
    constexpr std::uint64_t seed = 1;
    // The dispatcher learns of late streams when they end, which takes long while all engines read.
    const Duration countFrom = seconds(45);
    const Duration length = seconds(70);
    LoadSimulation full({seed, {tightCallers(), longCallers(1.0)}, length}, countFrom);
    full.run();
    LoadSimulation overload({seed, {tightCallers(), longCallers(3.0)}, length, 0.5}, countFrom);
    overload.run();
    fmt::print("seed {}: completed long requests per second {:.2f} at load 1, {:.2f} at load 3\n", seed,
               full.completedPerSecond(longer), overload.completedPerSecond(longer));
    CHECK_EQUAL(0U, overload.results(tight).refused);
    CHECK_TRUE(overload.results(tight).shareOfFirstTokens() >= shareOfTight);
    CHECK_TRUE(overload.results(tight).shareOfPauses() >= shareOfTight);
    CHECK_TRUE(overload.completedPerSecond(longer) >= 0.95 * full.completedPerSecond(longer));
}

/// A third of the engines goes in the middle: guards against streams and prompts that the remaining engines could serve. Their
/// load is then that of the first pattern.
TEST(StreamLoad, aThirdOfTheEnginesGoes)
{
    constexpr std::uint32_t lost = 7;
    const Duration length = seconds(60);
    for (const std::uint64_t seed : {1, 2}) {
        LoadPattern pattern {seed, {tightCallers(), longCallers(0.6, engines - lost)}, length, 0, lost};
        LoadSimulation simulation(pattern, length / 2 + settling);
        simulation.run();
        CHECK_EQUAL(0U, simulation.results(tight).refused);
        CHECK_TRUE(simulation.results(tight).shareOfPauses() >= shareOfTight);
        CHECK_TRUE(simulation.results(longer).shareOfFirstTokens() >= shareOfLong);
    }
}
