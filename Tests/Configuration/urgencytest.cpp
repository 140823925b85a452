// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Configuration/urgency.h"

#include "Configuration/catalogue.h"

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::Configuration;

TEST_GROUP(Urgency)
{
    static constexpr std::uint32_t pool = 1;

    CatalogueParts parts;

    void setup() override
    {
        for (const int rank : {1, 2, 4}) {
            RequestClass requestClass;
            requestClass.number = static_cast<std::uint32_t>(rank);
            requestClass.rank = rank;
            requestClass.pool = pool;
            parts.classes.push_back(requestClass);
        }
    }

    void addOrganisation(std::optional<int> rank)
    {
        Organisation organisation;
        organisation.rank = rank;
        parts.organisations.push_back(organisation);
    }

    UrgencyScale scale()
    {
        return Catalogue::assemble(parts)->urgencyScale(pool);
    }

    std::size_t level(std::size_t classIndex, int organisationRank)
    {
        return scale().levelOf(urgencyOf(parts.classes[classIndex], organisationRank)).index;
    }
};

/// Guards against an order of classes that is lost where all organisations have the same rank.
TEST(Urgency, classesOfEqualOrganisationsAreOrdered)
{
    addOrganisation(2);
    addOrganisation(2);
    CHECK_TRUE(urgencyOf(parts.classes[0], 2) < urgencyOf(parts.classes[1], 2));
    CHECK_TRUE(urgencyOf(parts.classes[1], 2) < urgencyOf(parts.classes[2], 2));
    CHECK_EQUAL(0U, level(0, 2));
    CHECK_EQUAL(1U, level(1, 2));
    CHECK_EQUAL(2U, level(2, 2));
    CHECK_EQUAL(3U, scale().levelOf({}).count);
}

/// Guards against an urgent class of an organisation of low priority that goes before an organisation of high priority.
TEST(Urgency, theOrganisationGoesBeforeTheClass)
{
    addOrganisation(1);
    addOrganisation(5);
    CHECK_TRUE(urgencyOf(parts.classes[2], 1) < urgencyOf(parts.classes[0], 5));
    CHECK_EQUAL(2U, level(2, 1));
    CHECK_EQUAL(3U, level(0, 5));
    CHECK_TRUE(scale().leastUrgent() == urgencyOf(parts.classes[2], 5));
}

/// Guards against requests of an organisation without a rank that go before or after all others whatever their class.
TEST(Urgency, theClassStandsInForAnOrganisationWithoutRank)
{
    addOrganisation(2);
    addOrganisation(std::nullopt);
    CHECK_TRUE(urgencyOf(parts.classes[0], 0) < urgencyOf(parts.classes[0], 2));
    CHECK_TRUE(urgencyOf(parts.classes[1], 0) == urgencyOf(parts.classes[1], 2));
    CHECK_TRUE(urgencyOf(parts.classes[2], 0) > urgencyOf(parts.classes[2], 2));
}

TEST(Urgency, withoutOrganisationsTheClassesAloneAreOrdered)
{
    CHECK_EQUAL(3U, scale().levelOf({}).count);
    CHECK_EQUAL(2U, level(2, 0));
    CHECK_TRUE(scale().leastUrgent() == urgencyOf(parts.classes[2]));
}

/// Guards against a scale that lacks the requests of a public route, which have no organisation.
TEST(Urgency, aPublicRouteHasRequestsWithoutOrganisation)
{
    addOrganisation(3);
    CHECK_EQUAL(3U, scale().levelOf({}).count);
    parts.routes.push_back({});
    parts.routes.back().isPublic = true;
    CHECK_EQUAL(6U, scale().levelOf({}).count);
}

/// Guards against a failure on an urgency of a configuration that this host does not have yet.
TEST(Urgency, anUrgencyThatIsNotPartOfTheScaleHasALevel)
{
    addOrganisation(2);
    CHECK_EQUAL(2U, level(2, 9));
    CHECK_EQUAL(0U, level(0, 1));
    CHECK_EQUAL(0U, UrgencyScale().levelOf({7, 7}).index);
}

TEST(Urgency, onlyRequestsThatCanBeMoreUrgentCount)
{
    addOrganisation(1);
    addOrganisation(2);
    CHECK_TRUE(scale().mayBeMoreUrgent(parts.classes[2], urgencyOf(parts.classes[0], 2)));
    CHECK_FALSE(scale().mayBeMoreUrgent(parts.classes[1], urgencyOf(parts.classes[0], 1)));
    CHECK_FALSE(scale().mayBeMoreUrgent(parts.classes[0], urgencyOf(parts.classes[0], 1)));
}
