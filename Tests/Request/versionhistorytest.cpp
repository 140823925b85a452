// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Request/versionhistory.h"
#include "Dispatch/fixtures.h"

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::Request;
using Configuration::softwareVersionNumber;
using Tests::at;

TEST_GROUP(VersionHistory)
{
    VersionHistory history;
    static constexpr Base::Duration period = std::chrono::seconds(10);

    /// Sets the versions of the endpoints of pool 1.
    void versions(double now, const std::vector<std::string> &texts)
    {
        Configuration::CatalogueParts parts;
        for (const std::string &text : texts) {
            Configuration::Endpoint endpoint;
            endpoint.number = static_cast<std::uint32_t>(parts.endpoints.size() + 1);
            endpoint.pool = 1;
            endpoint.softwareVersion = text;
            parts.endpoints.push_back(endpoint);
        }
        history.updateView(at(now), *Configuration::Catalogue::assemble(std::move(parts)));
    }

    std::uint32_t only(double now)
    {
        return history.onlyVersion(at(now), 1, period).value_or(0);
    }
};

// Guards against a host that has just started and takes the versions that it sees for all that streams began at.
TEST(VersionHistory, aHostThatHasNotKnownThePoolForLongKnowsNoOnlyVersion)
{
    versions(0, {"v1", "v1"});
    CHECK_EQUAL(0U, only(9.9));
    CHECK_EQUAL(softwareVersionNumber("v1"), only(10));
    CHECK_FALSE(history.onlyVersion(at(10), 2, period).has_value());
}

// Guards against streams of a version that has just gone and go on at the one that is left.
TEST(VersionHistory, aVersionThatHasJustGoneCounts)
{
    versions(0, {"v1"});
    versions(20, {"v1", "v2"});
    CHECK_EQUAL(0U, only(40));
    versions(50, {"v2"});
    CHECK_EQUAL(0U, only(59.9));
    CHECK_EQUAL(softwareVersionNumber("v2"), only(60));
}

// Guards against a pool that was empty for a moment and forgets its versions.
TEST(VersionHistory, anEmptyPoolKeepsItsVersions)
{
    versions(0, {"v1"});
    versions(20, {});
    versions(21, {"v2"});
    CHECK_EQUAL(0U, only(22));
    CHECK_EQUAL(softwareVersionNumber("v2"), only(30));
}

// Guards against endpoints without a version that are taken for those of any.
TEST(VersionHistory, endpointsWithoutAVersionAreAVersionOfTheirOwn)
{
    versions(0, {"", "v1"});
    CHECK_EQUAL(0U, only(20));
    versions(20, {""});
    CHECK_EQUAL(softwareVersionNumber(""), only(30));
}
