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
    RateLimiter pace;

    bool limit(double now, double perSecond)
    {
        return pace.applyUpdate(at(now), {RateKind::Limited, perSecond, at(now)});
    }

    /// Runs that begin until @p end, looked for each 10 ms from @p begin on.
    std::uint32_t begunIn(double begin, double end)
    {
        std::uint32_t begun = 0;
        for (double now = begin; now < end; now += 0.01) {
            for (; pace.left(at(now)) > 0; ++begun) {
                pace.spend(at(now));
            }
        }
        return begun;
    }
};

TEST(RateLimiter, withoutALimitAllMayBegin)
{
    CHECK_TRUE(pace.left(at(0)) > 1'000'000);
    pace.spend(at(0));
    CHECK_TRUE(pace.left(at(0)) > 1'000'000);
}

TEST(RateLimiter, aLimitStartsWithNothingSaved)
{
    limit(0, 2);
    CHECK_EQUAL(0U, pace.left(at(0)));
    CHECK_EQUAL(0U, pace.left(at(0.49)));
    CHECK_EQUAL(1U, pace.left(at(0.51)));
}

TEST(RateLimiter, whatIsNotUsedIsHardlySaved)
{
    limit(0, 2);
    CHECK_EQUAL(1U, pace.left(at(100)));
    limit(100, 50);
    CHECK_EQUAL(6U, pace.left(at(200)));
}

TEST(RateLimiter, theRateIsKeptAndUsed)
{
    for (const double perSecond : {0.3, 1.0, 7.0, 120.0}) {
        limit(0, perSecond);
        const double begun = begunIn(0, 20);
        CHECK_TRUE(begun <= 20 * perSecond + 1);
        CHECK_TRUE(begun >= 19.6 * perSecond - 1);
        pace = RateLimiter();
    }
}

TEST(RateLimiter, whileItIsSharedHalfIsUsed)
{
    pace = RateLimiter(at(4));
    limit(0, 10);
    const std::uint32_t shared = begunIn(0, 4);
    CHECK_TRUE(shared >= 19 && shared <= 21);
    const std::uint32_t alone = begunIn(4, 8);
    CHECK_TRUE(alone >= 39 && alone <= 41);
}

TEST(RateLimiter, alsoAnEndpointThatTakesNothingIsAskedNowAndThen)
{
    limit(0, 0);
    CHECK_EQUAL(5U, begunIn(0, 20.1));
}

TEST(RateLimiter, theLimitEndsByANewerWord)
{
    limit(5, 0);
    CHECK_FALSE(pace.applyUpdate(at(6), {RateKind::Unlimited, 0, at(4)}));
    CHECK_EQUAL(0U, pace.left(at(6)));
    CHECK_TRUE(pace.applyUpdate(at(7), {RateKind::Unlimited, 0, at(6)}));
    CHECK_TRUE(pace.left(at(7)) > 1000);
}

TEST(RateLimiter, anotherLimitKeepsWhatWasEarned)
{
    limit(0, 1);
    CHECK_EQUAL(1U, pace.left(at(1.5)));
    CHECK_TRUE(limit(1.5, 0.5));
    CHECK_EQUAL(1U, pace.left(at(1.5)));
    pace.spend(at(1.5));
    CHECK_EQUAL(0U, pace.left(at(3.3)));
    CHECK_EQUAL(1U, pace.left(at(3.6)));
}

/// Hosts that all do without a dispatcher know nothing of each other. Together they begin about what the endpoint takes, however
/// many they are, and no one of them is shut out for good.
TEST(RateLimiter, hostsByThemselvesTakeTurns)
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
                host.said(at(0), endpoints.front(), {RateHeader::Limit, perSecond});
            }
            for (int tick = 0; tick < seconds * 20; ++tick) {
                for (EndpointRates &host : rates) {
                    if (host.closedAlone(at(tick / 20.0), endpoints, hosts, random).empty()) {
                        host.startedAlone(endpoints.front());
                        ++begunInSecond[static_cast<std::size_t>(tick / 20)];
                    }
                }
            }
            int begun = 0;
            double mostOver = -1e9;
            for (int second = 0; second < seconds; ++second) {
                begun += begunInSecond[static_cast<std::size_t>(second)];
                int inFour = 0;
                for (int back = 0; back < 4 && back <= second; ++back) {
                    inFour += begunInSecond[static_cast<std::size_t>(second - back)];
                }
                mostOver = std::max(mostOver, inFour - (1.5 * perSecond * 4 + 5));
            }
            fmt::print("{} hosts alone, {} a second: {} in {} s, most beyond the allowed in 4 s {:.1f}\n", hosts, perSecond,
                       begun, seconds, mostOver);
            CHECK_TRUE(begun > 0);
            CHECK_TRUE(mostOver <= 0);
        }
    }
}
