// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Rate/ratestate.h"
#include "Rate/endpointrates.h"

#include "Dispatch/fixtures.h"

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::Rate;
using Tests::at;

namespace {

RateState limitedTo(double perSecond, double seconds)
{
    return {RateKind::Limited, perSecond, at(seconds)};
}

RateState unlimited(double seconds)
{
    return {RateKind::Unlimited, 0, at(seconds)};
}

} // namespace

TEST_GROUP(RateState) {};

TEST(RateState, theNewestWordHolds)
{
    RateState known;
    CHECK_TRUE(known.applyUpdate(limitedTo(2, 5)));
    CHECK_FALSE(known.applyUpdate(unlimited(4)));
    CHECK_TRUE(known.isLimited());
    CHECK_TRUE(known.applyUpdate(unlimited(6)));
    CHECK_FALSE(known.isLimited());
    CHECK_FALSE(known.applyUpdate(limitedTo(2, 5)));
    CHECK_FALSE(known.isLimited());
}

TEST(RateState, theSameWordAgainChangesOnlyItsTime)
{
    RateState known;
    known.applyUpdate(limitedTo(2, 5));
    CHECK_FALSE(known.applyUpdate(limitedTo(2, 9)));
    CHECK_FALSE(known.applyUpdate(unlimited(7)));
    CHECK_TRUE(known.isLimited());
    CHECK_TRUE(known.applyUpdate(limitedTo(3, 9)));
}

TEST(RateState, nothingIsLearnedFromWhoKnowsNothing)
{
    RateState known;
    known.applyUpdate(limitedTo(2, 5));
    CHECK_FALSE(known.applyUpdate({RateKind::Unknown, 0, at(9)}));
    CHECK_TRUE(known.isLimited());
}

TEST_GROUP(EndpointRates)
{
    std::shared_ptr<const Configuration::Catalogue> catalogue
        = Configuration::Catalogue::build(Tests::objectsOf(std::string(Tests::threeTiers)));
    std::uint32_t endpoint = catalogue->endpoints().front().number;
    EndpointRates rates;

    void said(double now, const char *text)
    {
        rates.said(at(now), endpoint, parseAdvertisedRate(text));
    }
};

TEST(EndpointRates, anAnswerWithoutARateEndsTheLimit)
{
    said(1, "0.5");
    CHECK_TRUE(rates.of(endpoint).isLimited());
    rates.said(at(2), endpoint, {});
    CHECK_TRUE(rates.of(endpoint).kind == RateKind::Unlimited);
}

TEST(EndpointRates, whatIsUnreadableChangesNothing)
{
    said(1, "many");
    CHECK_TRUE(rates.of(endpoint).kind == RateKind::Unknown);
    said(2, "0.5");
    said(3, "-1");
    CHECK_TRUE(rates.of(endpoint).isLimited());
    DOUBLES_EQUAL(0.5, rates.of(endpoint).perSecond, 1e-9);
}

TEST(EndpointRates, anEndpointThatStatesNothingIsNotKept)
{
    rates.said(at(1), endpoint, {});
    CHECK_TRUE(rates.of(endpoint).kind == RateKind::Unknown);
}

TEST(EndpointRates, whatIsNoMoreIsForgotten)
{
    said(1, "0.5");
    rates.updateView(*catalogue);
    CHECK_TRUE(rates.of(endpoint).isLimited());
    rates.updateView(*Configuration::Catalogue::build({}));
    CHECK_TRUE(rates.of(endpoint).kind == RateKind::Unknown);
}
