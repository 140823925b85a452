// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/rests.h"

#include "Dispatch/fixtures.h"

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::Dispatch;
using Tests::at;

TEST_GROUP(Rests)
{
    Rests rests;

    /// Homes 1 to @p homes are each turned away and asked for rest until second 3.
    void turnAway(std::uint64_t homes)
    {
        for (std::uint64_t home = 1; home <= homes; ++home) {
            rests.asked(home, at(3));
            rests.turnedAway(at(0), home);
        }
    }
};

TEST(Rests, aRestIsAWordToOneHome)
{
    turnAway(1);
    CHECK_FALSE(rests.allow(at(2.9), 1));
    CHECK_TRUE(rests.allow(at(2.9), 2));
    CHECK_TRUE(rests.allow(at(3), 1));
    CHECK_TRUE(rests.any(at(2.9)));
    CHECK_FALSE(rests.any(at(3)));
}

TEST(Rests, theLongestOfSeveralWordsHolds)
{
    rests.asked(1, at(5));
    rests.asked(1, at(2));
    CHECK_FALSE(rests.allow(at(4), 1));
    CHECK_TRUE(rests.end(1) == at(5));
}

TEST(Rests, whoTurnsAwayOneRequestAfterTheOtherRestsForAll)
{
    turnAway(3);
    CHECK_TRUE(rests.areOfAll());
    CHECK_FALSE(rests.allowSome(at(2.9)));
    CHECK_FALSE(rests.allow(at(2.9), 9));
    CHECK_TRUE(rests.end(9) == at(3));
}

/// Guards against an endpoint that turns away all without a time, and by having nothing to do draws all.
TEST(Rests, whoTurnsAwayAllAndNamesNoTimeGetsOneThatGrows)
{
    rests.turnedAway(at(0), 1);
    rests.turnedAway(at(0), 2);
    CHECK_TRUE(rests.allow(at(0), 1));
    rests.turnedAway(at(0), 3);
    CHECK_FALSE(rests.allow(at(0.24), 9));
    CHECK_TRUE(rests.allow(at(0.25), 9));
    rests.turnedAway(at(0.25), 9);
    CHECK_FALSE(rests.allow(at(0.74), 9));
    for (int turn = 0; turn < 100; ++turn) {
        rests.turnedAway(at(1), 9);
    }
    CHECK_FALSE(rests.allow(at(2.9), 9));
    CHECK_TRUE(rests.allow(at(3), 9));
}

TEST(Rests, aRunThatIsTakenEndsTheRow)
{
    turnAway(2);
    rests.accepted();
    turnAway(2);
    CHECK_TRUE(rests.allow(at(1), 9));
}

/// Guards against all homes' requests at once at an endpoint that is still full when its rest ends.
TEST(Rests, afterTheRestOneRunAtATimeFindsOut)
{
    turnAway(3);
    CHECK_TRUE(rests.allow(at(3), 9));
    rests.granted(at(3));
    CHECK_FALSE(rests.allow(at(3.05), 9));
    CHECK_TRUE(rests.allow(at(3.1), 9));
    rests.asked(9, at(6));
    rests.turnedAway(at(3.1), 9);
    CHECK_FALSE(rests.allow(at(5.9), 8));
    rests.granted(at(6));
    rests.accepted();
    CHECK_TRUE(rests.allow(at(6.01), 8));
    rests.tick(at(6.1));
    CHECK_FALSE(rests.any(at(6.1)));
}
