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

TEST(RateState, theNewestStateIsKept)
{
    RateState state;
    CHECK_TRUE(state.applyUpdate(limitedTo(2, 5)));
    CHECK_FALSE(state.applyUpdate(unlimited(4)));
    CHECK_TRUE(state.isLimited());
    CHECK_TRUE(state.applyUpdate(unlimited(6)));
    CHECK_FALSE(state.isLimited());
    CHECK_FALSE(state.applyUpdate(limitedTo(2, 5)));
    CHECK_FALSE(state.isLimited());
}

TEST(RateState, aRepeatedLimitChangesOnlyItsTime)
{
    RateState state;
    state.applyUpdate(limitedTo(2, 5));
    CHECK_FALSE(state.applyUpdate(limitedTo(2, 9)));
    CHECK_FALSE(state.applyUpdate(unlimited(7)));
    CHECK_TRUE(state.isLimited());
    CHECK_TRUE(state.applyUpdate(limitedTo(3, 9)));
}

TEST(RateState, unknownStateIsIgnored)
{
    RateState state;
    state.applyUpdate(limitedTo(2, 5));
    CHECK_FALSE(state.applyUpdate({RateKind::Unknown, 0, at(9)}));
    CHECK_TRUE(state.isLimited());
}

TEST_GROUP(EndpointRates)
{
    std::shared_ptr<const Configuration::Catalogue> catalogue
        = Configuration::Catalogue::build(Tests::objectsOf(std::string(Tests::threeTiers)));
    std::uint32_t endpoint = catalogue->endpoints().front().number;
    EndpointRates rates;

    void applyAdvertisement(double now, const char *text)
    {
        rates.applyAdvertisement(at(now), endpoint, parseAdvertisedRate(text));
    }
};

TEST(EndpointRates, aResponseWithoutARateEndsTheLimit)
{
    applyAdvertisement(1, "0.5");
    CHECK_TRUE(rates.stateOf(endpoint).isLimited());
    rates.applyAdvertisement(at(2), endpoint, {});
    CHECK_TRUE(rates.stateOf(endpoint).kind == RateKind::Unlimited);
}

TEST(EndpointRates, unreadableRateIsIgnored)
{
    applyAdvertisement(1, "many");
    CHECK_TRUE(rates.stateOf(endpoint).kind == RateKind::Unknown);
    applyAdvertisement(2, "0.5");
    applyAdvertisement(3, "-1");
    CHECK_TRUE(rates.stateOf(endpoint).isLimited());
    DOUBLES_EQUAL(0.5, rates.stateOf(endpoint).perSecond, 1e-9);
}

TEST(EndpointRates, endpointWithoutARateIsNotStored)
{
    rates.applyAdvertisement(at(1), endpoint, {});
    CHECK_TRUE(rates.stateOf(endpoint).kind == RateKind::Unknown);
}

TEST(EndpointRates, removedEndpointsAreForgotten)
{
    applyAdvertisement(1, "0.5");
    rates.updateView(at(2), *catalogue);
    CHECK_TRUE(rates.stateOf(endpoint).isLimited());
    rates.updateView(at(2), *Configuration::Catalogue::build({}));
    CHECK_TRUE(rates.stateOf(endpoint).kind == RateKind::Unknown);
}
