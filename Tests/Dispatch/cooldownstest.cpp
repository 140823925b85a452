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

    /// Homes 1 to @p homes are each turned away and asked for rest until second 3.
    void reject(std::uint64_t homes)
    {
        for (std::uint64_t home = 1; home <= homes; ++home) {
            cooldowns.startFor(home, at(3));
            cooldowns.recordRejection(at(0), home);
        }
    }
};

TEST(Cooldowns, aRestIsAWordToOneHome)
{
    reject(1);
    CHECK_FALSE(cooldowns.allows(at(2.9), 1));
    CHECK_TRUE(cooldowns.allows(at(2.9), 2));
    CHECK_TRUE(cooldowns.allows(at(3), 1));
    CHECK_TRUE(cooldowns.isActive(at(2.9)));
    CHECK_FALSE(cooldowns.isActive(at(3)));
}

TEST(Cooldowns, theLongestOfSeveralWordsHolds)
{
    cooldowns.startFor(1, at(5));
    cooldowns.startFor(1, at(2));
    CHECK_FALSE(cooldowns.allows(at(4), 1));
    CHECK_TRUE(cooldowns.endFor(1) == at(5));
}

TEST(Cooldowns, whoTurnsAwayOneRequestAfterTheOtherRestsForAll)
{
    reject(3);
    CHECK_TRUE(cooldowns.coversAllHomes());
    CHECK_FALSE(cooldowns.allowsAnyHome(at(2.9)));
    CHECK_FALSE(cooldowns.allows(at(2.9), 9));
    CHECK_TRUE(cooldowns.endFor(9) == at(3));
}

/// Guards against an endpoint that turns away all without a time, and by having nothing to do draws all.
TEST(Cooldowns, whoTurnsAwayAllAndNamesNoTimeGetsOneThatGrows)
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

TEST(Cooldowns, aRunThatIsTakenEndsTheRow)
{
    reject(2);
    cooldowns.recordAcceptance();
    reject(2);
    CHECK_TRUE(cooldowns.allows(at(1), 9));
}

/// Guards against all homes' requests at once at an endpoint that is still full when its rest ends.
TEST(Cooldowns, afterTheRestOneRunAtATimeFindsOut)
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
    CHECK_FALSE(cooldowns.isActive(at(6.1)));
}
