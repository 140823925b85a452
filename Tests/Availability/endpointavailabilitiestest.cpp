// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Availability/endpointavailabilities.h"

#include "Dispatch/fixtures.h"

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::Availability;
using Tests::at;

TEST_GROUP(EndpointAvailabilities)
{
    EndpointAvailabilities known;
};

TEST(EndpointAvailabilities, whatSaysNothingIsNotTold)
{
    CHECK_FALSE(known.said(at(0), 7, {}));
    CHECK_FALSE(known.said(at(0), 7, {.unreadable = true}));
    CHECK_FALSE(known.of(7).isClosed(at(0)));
}

TEST(EndpointAvailabilities, aRestEndsByItself)
{
    CHECK_TRUE(known.said(at(0), 7, {.cooldown = std::chrono::seconds(3)}));
    CHECK_TRUE(known.of(7).rests(at(2.9)));
    CHECK_FALSE(known.of(7).leaves(at(2.9)));
    CHECK_FALSE(known.of(8).isClosed(at(2.9)));
    CHECK_FALSE(known.of(7).isClosed(at(3)));
}

/// Guards against a shorter word, on its way at the same time, that ends a longer one.
TEST(EndpointAvailabilities, theLongestRestHolds)
{
    known.said(at(0), 7, {.cooldown = std::chrono::seconds(3)});
    known.said(at(1), 7, {.cooldown = std::chrono::seconds(1)});
    CHECK_TRUE(known.of(7).rests(at(2.9)));
}

/// Guards against requests to an endpoint that leaves after its entry was dropped and came back, or after an older entry came.
TEST(EndpointAvailabilities, thatItLeavesOutlivesItsEntry)
{
    known.said(at(0), 7, {.leaves = true});
    known.updateView(*Configuration::Catalogue::build({}));
    CHECK_TRUE(known.of(7).leaves(at(30)));
    known.tick(at(30));
    CHECK_EQUAL(1U, known.closed(at(30)).size());
}

TEST(EndpointAvailabilities, thatItLeavesIsBelievedForASetTime)
{
    Configuration::CatalogueParts parts;
    parts.policies.leavingTimeout = std::chrono::seconds(5);
    known.updateView(*Configuration::Catalogue::assemble(std::move(parts)));
    known.said(at(0), 7, {.leaves = true});
    known.said(at(2), 7, {.leaves = true});
    CHECK_TRUE(known.of(7).leaves(at(6.9)));
    CHECK_FALSE(known.of(7).leaves(at(7)));
    known.tick(at(7));
    CHECK_EQUAL(0U, known.closed(at(7)).size());
}

TEST(EndpointAvailabilities, theWordTellsWhatIsLeft)
{
    known.said(at(0), 7, {.leaves = true, .cooldown = std::chrono::seconds(3)});
    const AvailabilityInfo word = known.of(7).info(at(1));
    CHECK_TRUE(word.cooldownFor == std::chrono::seconds(2));
    CHECK_TRUE(word.leavingFor == std::chrono::seconds(59));
    CHECK_TRUE(known.of(7).info(at(100)).leavingFor == Base::Duration::zero());
}
