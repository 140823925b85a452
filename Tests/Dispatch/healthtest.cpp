// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/health.h"

#include "Dispatch/fixtures.h"

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::Dispatch;
using std::chrono::milliseconds;
using Tests::at;

TEST_GROUP(Health)
{
    Health health;
    AdaptiveWindow window {8};

    Observation observation(int gapMs, bool failed = false)
    {
        return {milliseconds(100), milliseconds(gapMs), milliseconds(1400), milliseconds(37), failed, true};
    }
};

TEST(Health, fiveTimesSlowerThanItsPeersIsSlow)
{
    health.observe(observation(100));
    health.observe(observation(100));
    CHECK_TRUE(health.isSlow(milliseconds(20)));
    CHECK_FALSE(health.isSlow(milliseconds(90)));
    CHECK_FALSE(health.isSlow(std::nullopt));
}

TEST(Health, twoFailuresInARowAreFailing)
{
    health.observe(observation(20, true));
    CHECK_FALSE(health.isFailing());
    health.observe(observation(20, true));
    CHECK_TRUE(health.isFailing());
}

TEST(Health, ejectedReturnsThroughProbingAndEjectionsGrow)
{
    health.eject(at(0), std::chrono::seconds(30));
    health.tick(at(0.5));
    CHECK_TRUE(health.state() == HealthState::Ejected);
    health.tick(at(1));
    CHECK_TRUE(health.state() == HealthState::Probing);
    health.observe(observation(20, true));
    CHECK_TRUE(health.isFailing());
    health.eject(at(1), std::chrono::seconds(30));
    health.tick(at(2.5));
    CHECK_TRUE(health.state() == HealthState::Ejected);
    health.tick(at(3));
    health.observe(observation(20));
    health.observe(observation(20));
    CHECK_TRUE(health.state() == HealthState::Healthy);
}

TEST(Health, windowGrowsWhenFullAndWithinTargets)
{
    for (int index = 0; index < 30; ++index) {
        window.observe(observation(20), at(index));
    }
    CHECK_TRUE(window.size() > 8);
    CHECK_TRUE(window.size() <= 12);
}

TEST(Health, windowFallsOnceASecondWhenTargetsAreMissed)
{
    window.observe(observation(80), at(10));
    window.observe(observation(80), at(10.1));
    CHECK_EQUAL(6U, window.size());
    for (int index = 0; index < 100; ++index) {
        window.observe(observation(80), at(12 + 2 * index));
    }
    CHECK_EQUAL(1U, window.size());
}

TEST(Health, answeredErrorsAreFailingOnlyManyInARow)
{
    Observation error = observation(20);
    error.errorResponse = true;
    for (int run = 0; run < 20; ++run) {
        health.observe(run % 5 == 4 ? observation(20) : error);
        CHECK_FALSE(health.isFailing());
    }
    for (int run = 0; run < 6; ++run) {
        health.observe(error);
    }
    CHECK_TRUE(health.isFailing());
}

/// Half of the answers of some engines were errors while their peers answered none: six errors in a row, which eject, come to
/// such an engine once in 64 runs, and each error cost a retry of the few that there are.
TEST(Health, halfErrorsBesidePeersWithoutAreErring)
{
    Observation error = observation(20);
    error.errorResponse = true;
    for (int run = 0; run < 6; ++run) {
        health.observe(run % 2 == 0 ? error : observation(20));
    }
    CHECK_FALSE(health.isFailing());
    CHECK_TRUE(health.hasHighErrorShare(0.0));
    CHECK_FALSE(health.hasHighErrorShare(0.45));
    CHECK_FALSE(health.hasHighErrorShare(std::nullopt));
}

TEST(Health, errorsThatAllAnswerAlikeAreNotErring)
{
    Observation error = observation(20);
    error.errorResponse = true;
    for (int run = 0; run < 70; ++run) {
        health.observe(run % 7 == 3 ? error : observation(20));
        CHECK_FALSE(health.hasHighErrorShare(1.0 / 7));
    }
}

TEST(Health, twoErrorsAreTooFewToTell)
{
    Observation error = observation(20);
    error.errorResponse = true;
    health.observe(error);
    health.observe(error);
    CHECK_FALSE(health.hasHighErrorShare(0.0));
}

TEST(Health, errorsBeforeAnEjectionAreForgotten)
{
    Observation error = observation(20);
    error.errorResponse = true;
    for (int run = 0; run < 10; ++run) {
        health.observe(error);
    }
    health.eject(at(0), std::chrono::seconds(30));
    health.tick(at(1));
    CHECK_FALSE(health.hasHighErrorShare(0.0));
}
