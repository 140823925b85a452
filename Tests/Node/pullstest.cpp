// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Node/pulls.h"

#include "Dispatch/fixtures.h"

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using Node::Pulls;
using Node::RevisionOrder;
using Tests::at;

TEST_GROUP(Pulls) {};

TEST(Pulls, aHigherRevisionIsAskedForAndAnEqualOneNot)
{
    for (const RevisionOrder order : {RevisionOrder::Counter, RevisionOrder::SumOfKinds}) {
        Pulls pulls(order);
        CHECK_FALSE(pulls.due(at(0), 7, 7));
        CHECK_TRUE(pulls.due(at(0), 8, 7));
    }
}

/// One host has a newer configuration, the other newer endpoints.
TEST(Pulls, aLowerSumMayHoldWhatIsMissingHere)
{
    CHECK_TRUE(Pulls(RevisionOrder::SumOfKinds).due(at(0), 154 + 151, 153 + 155));
    CHECK_FALSE(Pulls(RevisionOrder::Counter).due(at(0), 305, 308));
}

TEST(Pulls, asksAreSpacedHoweverManyTell)
{
    Pulls pulls(RevisionOrder::SumOfKinds);
    CHECK_TRUE(pulls.due(at(0), 9, 7));
    CHECK_FALSE(pulls.due(at(0.1), 9, 7));
    CHECK_TRUE(pulls.due(at(0.3), 9, 7));
}
