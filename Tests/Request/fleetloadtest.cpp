// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Load of a large fleet: what callers get where many homes share few dispatchers and many engines.

#include "Request/fleetload.h"

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using Tests::FleetLoad;
using Tests::FleetLoadCounts;
using Tests::Stream;

namespace {

/// The generations of the large deployment as its operators state them: requests a second, prompts and answers, targets.
std::vector<Stream> usualStreams()
{
    using std::chrono::milliseconds;
    return {{"short", 1, 261, 162, 350, 1110, 22, milliseconds(1500), milliseconds(12'000)},
            {"middle", 2, 184, 1453, 6300, 2890, 7, milliseconds(1500), milliseconds(6000)},
            {"long", 3, 264, 3107, 13'300, 3720, 15, milliseconds(2500), milliseconds(10'000)}};
}

void print(const char *pattern, std::uint64_t seed, const FleetLoadCounts &counts)
{
    fmt::print(
        "{}, seed {}: offered {}, in time {}, late {}, refused {}, failed {}, arrivals {}, rejected {}, local {}, read again "
        "{} k tokens, most at one engine {}\n",
        pattern, seed, counts.offered, counts.inTime, counts.late, counts.refused, counts.failed, counts.arrivals,
        counts.rejected, counts.localRuns, counts.readAgain / 1000, counts.mostAtOneEngine);
}

} // namespace

TEST_GROUP(FleetLoad) {};

/// A fifth of the engines have ended, are still listed, and others reject what comes to their addresses. Having nothing to do
/// they drew all new requests: up to 90 each in seconds. Each may reject what was on its way when the first rejection was told,
/// no more.
TEST(FleetLoad, enginesWhoseAddressOthersHaveDrawNoTraffic)
{
    constexpr std::size_t replaced = 64;
    FleetLoad load({}, usualStreams(), 1);
    load.run(std::chrono::seconds(1));
    load.replace(replaced);
    load.run(std::chrono::seconds(2));
    const FleetLoadCounts &counts = load.counts();
    print("a fifth of the engines are replaced", 1, counts);
    CHECK_TRUE(counts.rejected <= replaced * 3);
}

/// The one dispatcher of the pool ends, and the others learn of it 0.8 s later (two periods of probes): meanwhile homes use their
/// own shares. What a loss costs is bounded: hardly any request fails by it, and what is late is less than what came in those 0.8
/// s.
TEST(FleetLoad, theLossOfTheOneDispatcherCostsLittle)
{
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        FleetLoad load({}, usualStreams(), seed);
        load.run(std::chrono::seconds(2));
        load.loseDispatchers(std::chrono::milliseconds(800));
        load.run(std::chrono::seconds(3));
        const FleetLoadCounts &counts = load.counts();
        print("the dispatcher is lost", seed, counts);
        CHECK_TRUE(counts.localRuns > 0);
        CHECK_EQUAL(0U, counts.rejected);
        CHECK_TRUE((counts.failed + counts.refused) * 100 <= counts.offered);
        CHECK_TRUE(counts.late * 20 <= counts.offered);
    }
}

/// Messages between hosts are swallowed for a second, as by a switch that fails: all homes do without their dispatchers at once.
TEST(FleetLoad, aSecondWithoutMessagesOverrunsNoEngine)
{
    FleetLoad load({}, usualStreams(), 1);
    load.run(std::chrono::seconds(2));
    load.setSwallowed(true);
    load.run(std::chrono::seconds(1));
    load.setSwallowed(false);
    load.run(std::chrono::seconds(2));
    const FleetLoadCounts &counts = load.counts();
    print("a second without messages", 1, counts);
    CHECK_TRUE(counts.localRuns > 0);
    CHECK_EQUAL(0U, counts.rejected);
    CHECK_TRUE(counts.late * 20 <= counts.offered);
}

/// A fifth of the engines crash and come back after two seconds; their health is found out by the runs that break, which all
/// homes meet at once. The budget for retries counts over all hosts: a fifth of the first tries and a slack (630 here, of which
/// 252 may be held at a time). At 295 hosts each host's part of it was below one retry, so that none was ever made, and 263
/// requests failed.
TEST(FleetLoad, brokenRunsAreRetriedFromOneBudget)
{
    constexpr std::uint64_t slack = 630;
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        FleetLoad load({}, usualStreams(), seed);
        load.run(std::chrono::seconds(2));
        load.crash(64, std::chrono::seconds(2));
        load.run(std::chrono::seconds(3));
        const FleetLoadCounts &counts = load.counts();
        print("a fifth of the engines crash", seed, counts);
        CHECK_TRUE(counts.failed * 100 <= counts.offered);
        CHECK_TRUE(counts.arrivals <= counts.offered + counts.offered / 5 + slack);
    }
}
