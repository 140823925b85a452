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
        const auto seen = history.seenVersion(at(now), 1, period);
        return seen && seen->watchedFor >= period ? seen->softwareVersion : 0;
    }
};

// Guards against a host that has just started and takes the versions that it sees for all that streams began at.
TEST(VersionHistory, aHostThatHasNotKnownThePoolForLongKnowsNoOnlyVersion)
{
    versions(0, {"v1", "v1"});
    CHECK_EQUAL(0U, only(9.9));
    CHECK_EQUAL(softwareVersionNumber("v1"), only(10));
    CHECK_FALSE(history.seenVersion(at(10), 2, period).has_value());
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

// Guards against a host that stood still, or did not run for other reasons, and takes what it saw before for all that there was.
TEST(VersionHistory, timeInWhichTheHostDidNotRunDoesNotCount)
{
    versions(0, {"v1"});
    for (double now = 0; now < 20; now += 0.5) {
        history.watch(at(now));
    }
    CHECK_EQUAL(softwareVersionNumber("v1"), only(20));
    history.watch(at(25));
    CHECK_EQUAL(0U, only(25));
    for (double now = 25; now < 35; now += 0.5) {
        history.watch(at(now));
    }
    CHECK_EQUAL(softwareVersionNumber("v1"), only(35));
}

// Guards against a host that tells others of one version where it has seen several, or of none where it cannot tell.
TEST(VersionHistory, severalVersionsAreToldAsSuch)
{
    CHECK_FALSE(history.seenVersion(at(0), 1, period).has_value());
    versions(0, {"v1"});
    // A host that has not watched for long still contradicts one that is behind.
    CHECK_TRUE(history.seenVersion(at(9), 1, period)
               == (Peer::OnlyVersion {softwareVersionNumber("v1"), std::chrono::seconds(9)}));
    CHECK_TRUE(history.seenVersion(at(15), 1, period)
               == (Peer::OnlyVersion {softwareVersionNumber("v1"), std::chrono::seconds(15)}));
    CHECK_FALSE(history.seenVersion(at(7200), 1, std::chrono::hours(2)).has_value());
    versions(20, {"v1", "v2"});
    CHECK_TRUE(history.seenVersion(at(21), 1, period) == (Peer::OnlyVersion {0, period}));
    versions(30, {"v2"});
    CHECK_TRUE(history.seenVersion(at(39), 1, period) == (Peer::OnlyVersion {0, period}));
    CHECK_TRUE(history.seenVersion(at(42), 1, period)
               == (Peer::OnlyVersion {softwareVersionNumber("v2"), std::chrono::seconds(12)}));
}
