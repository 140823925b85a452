// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Three classes of streams on engines that cannot prefill all of their prompts in time, from an empty start. The less urgent a
/// class is, the longer are its prompts and the wider its targets.

#include "Dispatch/streamload.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

using namespace Yokepond;
using namespace Yokepond::Tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t engines = 90;
constexpr std::size_t urgent = 0; ///< indexes of the callers in the pattern
constexpr std::size_t middle = 1;
constexpr std::size_t bulk = 2;
/// Share of a class's requests that may be refused while less urgent ones are served.
constexpr double maxRefused = 1.0 / 12;
/// A class may be served less often than a less urgent one by this share of its requests.
constexpr double maxBehind = 0.05;

/// 300 requests a second whose prompts take @p load of the engines' time.
LoadPattern burst(std::uint64_t seed, double load, std::vector<int> organisationRanks)
{
    constexpr double tokensAtLoadOne = engines * LoadSimulation::tokensPerMs * 1000;
    const auto longest = static_cast<std::uint32_t>((load * tokensAtLoadOne - 100.0 * 1500 - 80.0 * 9000) / 120);
    LoadPattern pattern;
    pattern.seed = seed;
    pattern.callers = {{1, milliseconds(500), milliseconds(400), seconds(8), 1500, 25, 100},
                       {2, milliseconds(800), milliseconds(600), seconds(5), 9000, 7, 80},
                       {3, seconds(2), milliseconds(1500), seconds(8), longest, 17, 120}};
    pattern.length = seconds(10);
    pattern.returningShare = 0.5;
    pattern.engines = engines;
    pattern.organisationRanks = std::move(organisationRanks);
    return pattern;
}

double served(const LoadResults &results)
{
    return static_cast<double>(results.arrived - results.refused) / static_cast<double>(results.arrived);
}

void checkOrder(const LoadPattern &pattern)
{
    LoadSimulation simulation(pattern, seconds(0));
    simulation.run();
    const LoadResults &first = simulation.results(urgent);
    const LoadResults &second = simulation.results(middle);
    const LoadResults &third = simulation.results(bulk);
    CHECK_TRUE(static_cast<double>(first.refused) <= maxRefused * static_cast<double>(first.arrived));
    CHECK_TRUE(static_cast<double>(second.refused) <= maxRefused * static_cast<double>(second.arrived));
    CHECK_TRUE(served(first) >= served(second) - maxBehind);
    CHECK_TRUE(served(second) >= served(third) - maxBehind);
    CHECK_TRUE(first.shareOfFirstTokens() >= second.shareOfFirstTokens() - maxBehind);
    CHECK_TRUE(second.shareOfFirstTokens() >= third.shareOfFirstTokens() - maxBehind);
}

} // namespace

TEST_GROUP(UrgencyLoad) {};

/// Guards against urgent requests that get nothing, or come late, while less urgent ones run, where all organisations have the
/// same rank.
TEST(UrgencyLoad, classesOfOrganisationsOfEqualRank)
{
    for (const std::uint64_t seed : {1, 2}) {
        checkOrder(burst(seed, 1.5, {2, 2, 2, 2}));
    }
}

/// Guards against the same where no organisation has a rank.
TEST(UrgencyLoad, classesOfOrganisationsWithoutRank)
{
    checkOrder(burst(1, 1.5, {}));
}

/// Guards against the same where one organisation goes before the others, which are many.
TEST(UrgencyLoad, classesBesideAnOrganisationOfHigherRank)
{
    checkOrder(burst(1, 1.5, {1, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2}));
}
