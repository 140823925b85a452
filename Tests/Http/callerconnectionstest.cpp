// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Http/callerconnections.h"

#include <CppUTest/TestHarness.h>

using namespace Yokepond;

TEST_GROUP(CallerConnections)
{
    Http::CallerConnections<int> connections;

    int takenIdle()
    {
        return connections.takeLongestIdle().value_or(0);
    }
};

TEST(CallerConnections, theOneThatHasBeenIdleForLongestIsTakenFirst)
{
    connections.opened(1);
    connections.opened(2);
    connections.opened(3);
    connections.becameBusy(1);
    connections.becameIdle(1);
    CHECK_EQUAL(3U, connections.idle());
    CHECK_EQUAL(2, takenIdle());
    CHECK_EQUAL(3, takenIdle());
    CHECK_EQUAL(1, takenIdle());
    CHECK_EQUAL(0U, connections.open());
}

// Guards against connections with a request that are closed to make room.
TEST(CallerConnections, aConnectionWithARequestIsNotTaken)
{
    connections.opened(1);
    connections.becameBusy(1);
    CHECK_EQUAL(0, takenIdle());
    CHECK_EQUAL(1U, connections.open());
}

TEST(CallerConnections, aConnectionThatWasTakenOrClosedIsForgotten)
{
    connections.opened(1);
    CHECK_EQUAL(1, takenIdle());
    connections.becameIdle(1);
    connections.closed(1);
    connections.opened(2);
    connections.closed(2);
    connections.becameIdle(2);
    CHECK_EQUAL(0, takenIdle());
    CHECK_EQUAL(0U, connections.idle());
}
