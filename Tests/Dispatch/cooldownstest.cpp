// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/cooldowns.h"

#include "Dispatch/fixtures.h"

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::Dispatch;
using Tests::at;

TEST_GROUP(Cooldowns)
{
    Cooldowns cooldowns;

    /// A run of each of the homes 1 to @p homes is rejected with a cooldown until second 3.
    void reject(std::uint64_t homes)
    {
        for (std::uint64_t home = 1; home <= homes; ++home) {
            cooldowns.startFor(home, at(3));
            cooldowns.recordRejection(at(0), home);
        }
    }
};

TEST(Cooldowns, anAdvertisedCooldownAppliesToOneHome)
{
    reject(1);
    CHECK_FALSE(cooldowns.allows(at(2.9), 1));
    CHECK_TRUE(cooldowns.allows(at(2.9), 2));
    CHECK_TRUE(cooldowns.allows(at(3), 1));
    CHECK_TRUE(cooldowns.restrictsAnyHome(at(2.9)));
    CHECK_FALSE(cooldowns.restrictsAnyHome(at(3)));
}

TEST(Cooldowns, theLongestOfSeveralCooldownsApplies)
{
    cooldowns.startFor(1, at(5));
    cooldowns.startFor(1, at(2));
    CHECK_FALSE(cooldowns.allows(at(4), 1));
    CHECK_TRUE(cooldowns.endFor(1) == at(5));
}

TEST(Cooldowns, severalRejectionsInARowStartACooldownForAllHomes)
{
    reject(3);
    CHECK_TRUE(cooldowns.isFull());
    CHECK_FALSE(cooldowns.allowsAnyHome(at(2.9)));
    CHECK_FALSE(cooldowns.allows(at(2.9), 9));
    CHECK_TRUE(cooldowns.endFor(9) == at(3));
}

/// Guards against an endpoint that rejects all runs without advertising a cooldown. It seems idle and would attract all runs.
TEST(Cooldowns, withoutAnAdvertisedCooldownTheDefaultGrowsWithEachRejection)
{
    cooldowns.recordRejection(at(0), 1);
    cooldowns.recordRejection(at(0), 2);
    CHECK_TRUE(cooldowns.allows(at(0), 1));
    cooldowns.recordRejection(at(0), 3);
    CHECK_FALSE(cooldowns.allows(at(0.24), 9));
    CHECK_TRUE(cooldowns.allows(at(0.25), 9));
    cooldowns.recordRejection(at(0.25), 9);
    CHECK_FALSE(cooldowns.allows(at(0.74), 9));
    for (int turn = 0; turn < 100; ++turn) {
        cooldowns.recordRejection(at(1), 9);
    }
    CHECK_FALSE(cooldowns.allows(at(2.9), 9));
    CHECK_TRUE(cooldowns.allows(at(3), 9));
}

TEST(Cooldowns, anAcceptedRunEndsTheRowOfRejections)
{
    reject(2);
    cooldowns.recordAcceptance();
    reject(2);
    CHECK_TRUE(cooldowns.allows(at(1), 9));
}

/// Guards against a burst of runs from all homes at an endpoint that is still full when its cooldown ends.
TEST(Cooldowns, afterTheCooldownOneRunAtATimeIsAllowed)
{
    reject(3);
    CHECK_TRUE(cooldowns.allows(at(3), 9));
    cooldowns.recordGrant(at(3));
    CHECK_FALSE(cooldowns.allows(at(3.05), 9));
    CHECK_TRUE(cooldowns.allows(at(3.1), 9));
    cooldowns.startFor(9, at(6));
    cooldowns.recordRejection(at(3.1), 9);
    CHECK_FALSE(cooldowns.allows(at(5.9), 8));
    cooldowns.recordGrant(at(6));
    cooldowns.recordAcceptance();
    CHECK_TRUE(cooldowns.allows(at(6.01), 8));
    cooldowns.removeExpired(at(6.1));
    CHECK_FALSE(cooldowns.restrictsAnyHome(at(6.1)));
}

/// Guards against dispatchers that let a brittle endpoint reject one run after another until it falls over.
TEST(Cooldowns, aBrittleEndpointIsFullAfterOneRejection)
{
    cooldowns.recordRejection(at(0), 1, true);
    CHECK_TRUE(cooldowns.isFull());
    CHECK_FALSE(cooldowns.allows(at(0.2), 2));
    CHECK_TRUE(cooldowns.allows(at(0.3), 2));
    cooldowns.recordGrant(at(0.3));
    CHECK_FALSE(cooldowns.allows(at(0.35), 2));
    cooldowns.recordAcceptance();
    CHECK_TRUE(cooldowns.allows(at(0.35), 2));
}
