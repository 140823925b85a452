// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Rate/ratelimiter.h"
#include "Rate/endpointrates.h"

#include "Dispatch/fixtures.h"

#include <fmt/format.h>

#include <algorithm>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::Rate;
using Tests::at;

TEST_GROUP(RateLimiter)
{
    RateLimiter limiter;

    bool limit(double now, double perSecond)
    {
        return limiter.applyUpdate(at(now), {RateKind::Limited, perSecond, at(now)});
    }

    /// Returns the number of runs that start from @p begin to @p end if the limiter is asked every 10 ms.
    std::uint32_t countRuns(double begin, double end)
    {
        std::uint32_t started = 0;
        for (double now = begin; now < end; now += 0.01) {
            for (; limiter.left(at(now)) > 0; ++started) {
                limiter.spend(at(now));
            }
        }
        return started;
    }
};

TEST(RateLimiter, withoutALimitAnyNumberMayStart)
{
    CHECK_TRUE(limiter.left(at(0)) > 1'000'000);
    limiter.spend(at(0));
    CHECK_TRUE(limiter.left(at(0)) > 1'000'000);
}

TEST(RateLimiter, aNewLimitStartsWithAnEmptyBucket)
{
    limit(0, 2);
    CHECK_EQUAL(0U, limiter.left(at(0)));
    CHECK_EQUAL(0U, limiter.left(at(0.49)));
    CHECK_EQUAL(1U, limiter.left(at(0.51)));
}

TEST(RateLimiter, unusedRunsAccumulateUpToTheBurst)
{
    limit(0, 2);
    CHECK_EQUAL(1U, limiter.left(at(100)));
    limit(100, 50);
    CHECK_EQUAL(6U, limiter.left(at(200)));
}

TEST(RateLimiter, theRateIsEnforcedAndUsed)
{
    for (const double perSecond : {0.3, 1.0, 7.0, 120.0}) {
        limit(0, perSecond);
        const double started = countRuns(0, 20);
        CHECK_TRUE(started <= 20 * perSecond + 1);
        CHECK_TRUE(started >= 19.6 * perSecond - 1);
        limiter = RateLimiter();
    }
}

TEST(RateLimiter, halfOfTheRateIsUsedWhileItIsShared)
{
    limiter = RateLimiter(at(4));
    limit(0, 10);
    const std::uint32_t shared = countRuns(0, 4);
    CHECK_TRUE(shared >= 19 && shared <= 21);
    const std::uint32_t alone = countRuns(4, 8);
    CHECK_TRUE(alone >= 39 && alone <= 41);
}

TEST(RateLimiter, anEndpointWithRateZeroStillGetsRuns)
{
    limit(0, 0);
    CHECK_EQUAL(5U, countRuns(0, 20.1));
}

TEST(RateLimiter, onlyANewerUpdateEndsTheLimit)
{
    limit(5, 0);
    CHECK_FALSE(limiter.applyUpdate(at(6), {RateKind::Unlimited, 0, at(4)}));
    CHECK_EQUAL(0U, limiter.left(at(6)));
    CHECK_TRUE(limiter.applyUpdate(at(7), {RateKind::Unlimited, 0, at(6)}));
    CHECK_TRUE(limiter.left(at(7)) > 1000);
}

TEST(RateLimiter, aChangedLimitKeepsTheBalance)
{
    limit(0, 1);
    CHECK_EQUAL(1U, limiter.left(at(1.5)));
    CHECK_TRUE(limit(1.5, 0.5));
    CHECK_EQUAL(1U, limiter.left(at(1.5)));
    limiter.spend(at(1.5));
    CHECK_EQUAL(0U, limiter.left(at(3.3)));
    CHECK_EQUAL(1U, limiter.left(at(3.6)));
}

/// Hosts without a dispatcher do not coordinate. Together they start about as many runs as the endpoint accepts, however many
/// hosts there are, and no host is excluded permanently.
TEST(RateLimiter, hostsWithoutADispatcherTakeTurns)
{
    constexpr int seconds = 40;
    const auto catalogue = Configuration::Catalogue::build(Tests::objectsOf(std::string(Tests::threeTiers)));
    const std::vector<std::uint32_t> endpoints {catalogue->endpoints().front().number};
    for (const std::size_t hosts : {8U, 87U, 390U}) {
        for (const double perSecond : {0.5, 1.0, 5.0}) {
            std::mt19937_64 random(hosts);
            std::vector<EndpointRates> rates(hosts);
            std::vector<int> begunInSecond(seconds);
            for (EndpointRates &host : rates) {
                host.applyAdvertisement(at(0), endpoints.front(), {RateHeader::Limit, perSecond});
            }
            for (int tick = 0; tick < seconds * 20; ++tick) {
                for (EndpointRates &host : rates) {
                    if (host.unavailableWithoutDispatcher(at(tick / 20.0), endpoints, hosts, random).empty()) {
                        host.runStartedWithoutDispatcher(endpoints.front());
                        ++begunInSecond[static_cast<std::size_t>(tick / 20)];
                    }
                }
            }
            int started = 0;
            double maxExcess = -1e9;
            for (int second = 0; second < seconds; ++second) {
                started += begunInSecond[static_cast<std::size_t>(second)];
                int inFour = 0;
                for (int back = 0; back < 4 && back <= second; ++back) {
                    inFour += begunInSecond[static_cast<std::size_t>(second - back)];
                }
                maxExcess = std::max(maxExcess, inFour - (1.5 * perSecond * 4 + 5));
            }
            fmt::print("{} hosts alone, {} a second: {} in {} s, most beyond the allowed in 4 s {:.1f}\n", hosts, perSecond,
                       started, seconds, maxExcess);
            CHECK_TRUE(started > 0);
            CHECK_TRUE(maxExcess <= 0);
        }
    }
}

// Guards against a burst at an endpoint that has just started.
TEST(RateLimiter, aColdEndpointGetsItsRateOnlyUntilItsPeriodEnds)
{
    limiter.setColdPeriod(at(0), {at(3), 10});
    CHECK_EQUAL(0U, limiter.left(at(0)));
    const std::uint32_t started = countRuns(0, 2.99);
    CHECK_TRUE(started >= 28 && started <= 31);
    CHECK_TRUE(limiter.left(at(3)) > 1'000'000);
}

// Guards against a cold period that lifts the rate that the endpoint itself advertises.
TEST(RateLimiter, theLowerOneOfBothRatesApplies)
{
    limit(0, 2);
    limiter.setColdPeriod(at(0), {at(10), 10});
    CHECK_TRUE(countRuns(0, 5) <= 10);
    limiter.setColdPeriod(at(5), {at(10), 0.5});
    CHECK_TRUE(countRuns(5, 10) <= 3);
    CHECK_TRUE(countRuns(10, 15) >= 9);
}

// Guards against two dispatchers that both send a cold endpoint its whole rate while it moves from one to the other.
TEST(RateLimiter, aNewDispatcherStartsAColdEndpointWithHalfOfItsRate)
{
    RateLimiter moved(at(4));
    moved.setColdPeriod(at(0), {at(8), 10});
    std::uint32_t started = 0;
    for (double now = 0; now < 4; now += 0.01) {
        for (; moved.left(at(now)) > 0; ++started) {
            moved.spend(at(now));
        }
    }
    CHECK_TRUE(started >= 18 && started <= 21);
}

// Guards against homes without a dispatcher that each send to an endpoint that has just started.
TEST(RateLimiter, homesWithoutADispatcherLeaveColdEndpointsToTheWarmOnes)
{
    Configuration::CatalogueParts parts;
    parts.endpoints = {{.number = 1, .cold = {at(5), 10}}, {.number = 2}};
    EndpointRates rates;
    rates.updateView(at(0), *Configuration::Catalogue::assemble(parts));
    std::mt19937_64 random(1);
    const std::vector<std::uint32_t> endpoints = {1, 2};
    CHECK_TRUE(rates.unavailableWithoutDispatcher(at(1), endpoints, 1, random) == (std::set<std::uint32_t> {1}));
    CHECK_TRUE(rates.unavailableWithoutDispatcher(at(5), endpoints, 1, random).empty());
    CHECK_TRUE(rates.unavailableWithoutDispatcher(at(1), {1}, 1, random).empty());
    rates.runStartedWithoutDispatcher(1);
    CHECK_FALSE(rates.unavailableWithoutDispatcher(at(1), {1}, 1, random).empty());
}
