// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Rate/knownrate.h"
#include "Rate/endpointrates.h"

#include "Dispatch/fixtures.h"

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::Rate;
using Tests::at;

namespace {

KnownRate limitedTo(double perSecond, double seconds)
{
    return {Knowledge::Limited, perSecond, at(seconds)};
}

KnownRate unlimited(double seconds)
{
    return {Knowledge::Unlimited, 0, at(seconds)};
}

} // namespace

TEST_GROUP(KnownRate) {};

TEST(KnownRate, theNewestWordHolds)
{
    KnownRate known;
    CHECK_TRUE(known.hear(limitedTo(2, 5)));
    CHECK_FALSE(known.hear(unlimited(4)));
    CHECK_TRUE(known.isLimited());
    CHECK_TRUE(known.hear(unlimited(6)));
    CHECK_FALSE(known.isLimited());
    CHECK_FALSE(known.hear(limitedTo(2, 5)));
    CHECK_FALSE(known.isLimited());
}

TEST(KnownRate, theSameWordAgainChangesOnlyItsTime)
{
    KnownRate known;
    known.hear(limitedTo(2, 5));
    CHECK_FALSE(known.hear(limitedTo(2, 9)));
    CHECK_FALSE(known.hear(unlimited(7)));
    CHECK_TRUE(known.isLimited());
    CHECK_TRUE(known.hear(limitedTo(3, 9)));
}

TEST(KnownRate, nothingIsLearnedFromWhoKnowsNothing)
{
    KnownRate known;
    known.hear(limitedTo(2, 5));
    CHECK_FALSE(known.hear({Knowledge::Unknown, 0, at(9)}));
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
        rates.said(at(now), endpoint, parseStatedRate(text));
    }
};

TEST(EndpointRates, anAnswerWithoutARateEndsTheLimit)
{
    said(1, "0.5");
    CHECK_TRUE(rates.of(endpoint).isLimited());
    rates.said(at(2), endpoint, {});
    CHECK_TRUE(rates.of(endpoint).knowledge == Knowledge::Unlimited);
}

TEST(EndpointRates, whatIsUnreadableChangesNothing)
{
    said(1, "many");
    CHECK_TRUE(rates.of(endpoint).knowledge == Knowledge::Unknown);
    said(2, "0.5");
    said(3, "-1");
    CHECK_TRUE(rates.of(endpoint).isLimited());
    DOUBLES_EQUAL(0.5, rates.of(endpoint).perSecond, 1e-9);
}

TEST(EndpointRates, anEndpointThatStatesNothingIsNotKept)
{
    rates.said(at(1), endpoint, {});
    CHECK_TRUE(rates.of(endpoint).knowledge == Knowledge::Unknown);
}

TEST(EndpointRates, whatIsNoMoreIsForgotten)
{
    said(1, "0.5");
    rates.updateView(*catalogue);
    CHECK_TRUE(rates.of(endpoint).isLimited());
    rates.updateView(*Configuration::Catalogue::build({}));
    CHECK_TRUE(rates.of(endpoint).knowledge == Knowledge::Unknown);
}
