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
    EndpointAvailabilities availabilities;
};

TEST(EndpointAvailabilities, aResponseWithoutHeadersChangesNothing)
{
    CHECK_FALSE(availabilities.applyAdvertisement(at(0), 7, {}));
    CHECK_FALSE(availabilities.applyAdvertisement(at(0), 7, {.unreadable = true}));
    CHECK_FALSE(availabilities.stateOf(7).isUnavailable(at(0)));
}

TEST(EndpointAvailabilities, aCooldownExpires)
{
    CHECK_TRUE(availabilities.applyAdvertisement(at(0), 7, {.cooldown = std::chrono::seconds(3)}));
    CHECK_TRUE(availabilities.stateOf(7).isCoolingDown(at(2.9)));
    CHECK_FALSE(availabilities.stateOf(7).isLeaving(at(2.9)));
    CHECK_FALSE(availabilities.stateOf(8).isUnavailable(at(2.9)));
    CHECK_FALSE(availabilities.stateOf(7).isUnavailable(at(3)));
}

/// Guards against a shorter cooldown, in flight at the same time, that ends a longer one.
TEST(EndpointAvailabilities, theLongestCooldownApplies)
{
    availabilities.applyAdvertisement(at(0), 7, {.cooldown = std::chrono::seconds(3)});
    availabilities.applyAdvertisement(at(1), 7, {.cooldown = std::chrono::seconds(1)});
    CHECK_TRUE(availabilities.stateOf(7).isCoolingDown(at(2.9)));
}

/// Guards against requests to a leaving endpoint whose entry was removed and added again, or was replaced by an older one.
TEST(EndpointAvailabilities, leavingIsKeptWhenTheEndpointIsUnconfigured)
{
    availabilities.applyAdvertisement(at(0), 7, {.leaves = true});
    availabilities.updateView(*Configuration::Catalogue::build({}));
    CHECK_TRUE(availabilities.stateOf(7).isLeaving(at(30)));
    availabilities.tick(at(30));
    CHECK_EQUAL(1U, availabilities.unavailableEndpoints(at(30)).size());
}

TEST(EndpointAvailabilities, leavingExpiresAfterItsTimeout)
{
    Configuration::CatalogueParts parts;
    parts.policies.leavingTimeout = std::chrono::seconds(5);
    availabilities.updateView(*Configuration::Catalogue::assemble(std::move(parts)));
    availabilities.applyAdvertisement(at(0), 7, {.leaves = true});
    availabilities.applyAdvertisement(at(2), 7, {.leaves = true});
    CHECK_TRUE(availabilities.stateOf(7).isLeaving(at(6.9)));
    CHECK_FALSE(availabilities.stateOf(7).isLeaving(at(7)));
    availabilities.tick(at(7));
    CHECK_EQUAL(0U, availabilities.unavailableEndpoints(at(7)).size());
}

TEST(EndpointAvailabilities, infoContainsTheRemainingTimes)
{
    availabilities.applyAdvertisement(at(0), 7, {.leaves = true, .cooldown = std::chrono::seconds(3)});
    const AvailabilityInfo sent = availabilities.stateOf(7).info(at(1));
    CHECK_TRUE(sent.cooldownFor == std::chrono::seconds(2));
    CHECK_TRUE(sent.leavingFor == std::chrono::seconds(59));
    CHECK_TRUE(availabilities.stateOf(7).info(at(100)).leavingFor == Base::Duration::zero());
}
