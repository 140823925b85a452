// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Configuration/identities.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>

using namespace Yokepond::Configuration;

namespace {

/// Pairs of names that have the same 32 bits of a hash. They were found by search.
constexpr const char *firstEndpoint = "i-0a0ed";
constexpr const char *secondEndpoint = "i-0d67c";
constexpr const char *firstPool = "app-0aa09";
constexpr const char *secondPool = "app-15516";
constexpr const char *firstClass = "route-018e2/status-service";
constexpr const char *secondClass = "route-15edc/status-service";
constexpr const char *firstOrganisation = "tenant-0c46b";
constexpr const char *secondOrganisation = "tenant-0f1c3";
constexpr const char *firstVersion = "v1.0756e";
constexpr const char *secondVersion = "v1.19592";

template<typename Thing>
Thing named(const std::string &name)
{
    Thing thing;
    thing.name = name;
    return thing;
}

Endpoint endpointOf(const std::string &name, const std::string &pool, const std::string &version = "")
{
    Endpoint endpoint = named<Endpoint>(name);
    endpoint.poolName = pool;
    endpoint.softwareVersion = version;
    return endpoint;
}

CatalogueParts partsWith(std::vector<Endpoint> endpoints)
{
    CatalogueParts parts;
    parts.pools = {named<Pool>(firstPool), named<Pool>(secondPool)};
    parts.endpoints = std::move(endpoints);
    return parts;
}

std::shared_ptr<const Catalogue> assembled(CatalogueParts parts)
{
    numberByIdentity(parts);
    return Catalogue::assemble(std::move(parts));
}

const Endpoint &endpointNamed(const Catalogue &catalogue, const std::string &name)
{
    return *std::ranges::find(catalogue.endpoints(), name, &Endpoint::name);
}

} // namespace

TEST_GROUP(Identities) {};

// Guards against requests of one service that run at another's endpoint, because the names of two endpoints have the same hash.
TEST(Identities, endpointsWhoseNamesCollideHaveNumbersOfTheirOwn)
{
    const auto catalogue = assembled(
        partsWith({endpointOf(firstEndpoint, firstPool), endpointOf(secondEndpoint, secondPool), endpointOf("i-3", firstPool)}));
    const std::uint32_t common = nameNumber(identityOf(endpointNamed(*catalogue, firstEndpoint)));
    CHECK_EQUAL(common, nameNumber(identityOf(endpointNamed(*catalogue, secondEndpoint))));
    POINTERS_EQUAL(nullptr, catalogue->endpointByNumber(common));
    for (const Endpoint &endpoint : catalogue->endpoints()) {
        STRCMP_EQUAL(endpoint.name.c_str(), catalogue->endpointByNumber(endpoint.number)->name.c_str());
    }
    CHECK_EQUAL(nameNumber("endpoint/i-3"), endpointNamed(*catalogue, "i-3").number);
}

// Guards against hosts that disagree on the number of an endpoint, because they learned of the endpoints in another order.
TEST(Identities, numbersDependOnTheNamesAlone)
{
    const auto one = assembled(partsWith({endpointOf(firstEndpoint, firstPool), endpointOf(secondEndpoint, secondPool)}));
    CatalogueParts later = one->parts();
    std::ranges::reverse(later.endpoints);
    std::ranges::reverse(later.pools);
    const auto other = assembled(std::move(later));
    for (const char *name : {firstEndpoint, secondEndpoint}) {
        CHECK_EQUAL(endpointNamed(*one, name).number, endpointNamed(*other, name).number);
        CHECK_EQUAL(endpointNamed(*one, name).pool, endpointNamed(*other, name).pool);
    }
}

// Guards against an endpoint that is left without its own number when the one that it collided with is gone.
TEST(Identities, aNameThatIsAloneAgainHasItsNumberAgain)
{
    const auto both = assembled(partsWith({endpointOf(firstEndpoint, firstPool), endpointOf(secondEndpoint, secondPool)}));
    CatalogueParts alone = both->parts();
    alone.endpoints.erase(alone.endpoints.begin());
    const auto catalogue = assembled(std::move(alone));
    CHECK_EQUAL(nameNumber(std::string("endpoint/") + secondEndpoint), catalogue->endpoints().front().number);
    CHECK_EQUAL(1U, catalogue->parts().nameCollisions.size()); // the pools still collide
}

// Guards against requests of one service that run at another, because the names of the services have the same hash.
TEST(Identities, poolsWhoseNamesCollideKeepTheirEndpointsAndClasses)
{
    CatalogueParts parts = partsWith({endpointOf("i-1", firstPool), endpointOf("i-2", secondPool)});
    parts.classes = {named<RequestClass>("a/1"), named<RequestClass>("b/2")};
    parts.classes[0].poolName = firstPool;
    parts.classes[1].poolName = secondPool;
    const auto catalogue = assembled(std::move(parts));
    CHECK_TRUE(catalogue->endpoints()[0].pool != catalogue->endpoints()[1].pool);
    CHECK_EQUAL(catalogue->endpoints()[0].pool, catalogue->classes()[0].pool);
    CHECK_EQUAL(catalogue->endpoints()[1].pool, catalogue->classes()[1].pool);
    STRCMP_EQUAL(firstPool, catalogue->poolByNumber(catalogue->classes()[0].pool)->name.c_str());
}

// Guards against endpoints of a service that is not configured, which serve a configured one whose name has the same hash.
TEST(Identities, anEndpointOfAnUnknownPoolBelongsToNone)
{
    CatalogueParts parts = partsWith({endpointOf("i-1", firstPool), endpointOf("i-2", secondPool)});
    parts.pools.pop_back();
    const auto catalogue = assembled(std::move(parts));
    CHECK_EQUAL(catalogue->pools().front().number, catalogue->endpoints()[0].pool);
    CHECK_EQUAL(0U, catalogue->endpoints()[1].pool);
}

// Guards against requests that may not be repeated and run again, because their route has the hash of one whose requests may.
TEST(Identities, routesKeepTheirClassesWhenNamesCollide)
{
    CatalogueParts parts;
    parts.classes = {named<RequestClass>(firstClass), named<RequestClass>(secondClass)};
    parts.classes[1].repeatable = false;
    for (const RequestClass &requestClass : parts.classes) {
        Route route = named<Route>(requestClass.name);
        route.shares = {{0, 1, requestClass.name}};
        parts.routes.push_back(route);
    }
    const auto catalogue = assembled(std::move(parts));
    for (const Route &route : catalogue->routes()) {
        STRCMP_EQUAL(route.name.c_str(), catalogue->classByNumber(route.shares.front().requestClass)->name.c_str());
    }
}

TEST(Identities, organisationsWhoseNamesCollideHaveNumbersOfTheirOwn)
{
    CatalogueParts parts;
    parts.organisations = {named<Organisation>(firstOrganisation), named<Organisation>(secondOrganisation)};
    const auto catalogue = assembled(std::move(parts));
    for (const Organisation &organisation : catalogue->organisations()) {
        STRCMP_EQUAL(organisation.name.c_str(), catalogue->organisationByNumber(organisation.number)->name.c_str());
    }
}

// Guards against streams that go on at another software version than began them, because the versions have the same hash.
TEST(Identities, versionsWhoseNamesCollideAreNotTakenForEachOther)
{
    const auto catalogue = assembled(partsWith(
        {endpointOf("i-1", firstPool, firstVersion), endpointOf("i-2", firstPool, secondVersion), endpointOf("i-3", firstPool)}));
    CHECK_EQUAL(softwareVersionNumber(firstVersion), softwareVersionNumber(secondVersion));
    EndpointCriteria criteria;
    criteria.softwareVersion = catalogue->versionNumber(firstVersion);
    CHECK_TRUE(catalogue->mayServe(catalogue->endpoints()[0], criteria));
    CHECK_FALSE(catalogue->mayServe(catalogue->endpoints()[1], criteria));
    criteria.softwareVersion = softwareVersionNumber(firstVersion);
    CHECK_FALSE(catalogue->mayServe(catalogue->endpoints()[0], criteria));
    CHECK_EQUAL(softwareVersionNumber(""), catalogue->versionNumber(""));
}

// Guards against names that collide again in the numbers that they get instead.
TEST(Identities, separatedNumbersAreDistinct)
{
    constexpr std::uint32_t count = 1000;
    std::vector<NumberedName> names;
    names.reserve(count + 1);
    for (std::uint32_t index = 0; index < count; ++index) {
        names.push_back({std::to_string(index), 1 + index % 3});
    }
    names.push_back({"other", nameNumber("0", 1)}); // what the first would get
    CHECK_EQUAL(3U, separate(names).size());
    std::set<std::uint32_t> numbers;
    std::ranges::for_each(names, [&](const NumberedName &name) { numbers.insert(name.number); });
    CHECK_EQUAL(names.size(), numbers.size());
    CHECK_EQUAL(nameNumber("0", 1), names.back().number);
}
