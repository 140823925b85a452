// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Relay/endpointpaths.h"

#include <algorithm>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::Relay;

TEST_GROUP(EndpointPaths)
{
    EndpointPaths paths;

    void setup() override
    {
        paths.setHelpers({{"h2:9", ""}, {"h3:9", ""}, {"h4:9", ""}});
    }

    static Base::Instant at(double seconds)
    {
        return Base::Instant {} + std::chrono::milliseconds(static_cast<int>(seconds * 1000));
    }

    std::string waysTo(const std::string &endpoint, double now = 0, const std::string &region = "")
    {
        std::string text;
        for (const Way &way : paths.ways(at(now), endpoint, region)) {
            text += way.isDirect() ? "direct " : way.helper + " ";
        }
        return text;
    }

    void directFails(const std::string &endpoint, double now = 0)
    {
        paths.recordFailure(at(now), endpoint, {}, WayFailure::NoConnection);
    }

    void failThree()
    {
        directFails("e1");
        directFails("e2");
        directFails("e3");
    }
};

TEST(EndpointPaths, aHostTriesItsOwnPathFirst)
{
    CHECK_EQUAL(std::string("direct h2:9 h3:9 "), waysTo("e1"));
}

TEST(EndpointPaths, withoutHelpersNothingIsLost)
{
    paths.setHelpers({});
    failThree();
    CHECK_EQUAL(std::string("direct "), waysTo("e1"));
    CHECK_FALSE(paths.inDoubt());
    CHECK_EQUAL(0U, paths.lostCount());
}

TEST(EndpointPaths, anEndpointThatCouldNotBeReachedIsTriedThroughHelpersFirst)
{
    CHECK_TRUE(paths.recordFailure(at(0), "e1", {}, WayFailure::NoConnection));
    CHECK_FALSE(paths.recordFailure(at(0), "e1", {}, WayFailure::NoConnection));
    CHECK_EQUAL(std::string("h2:9 h3:9 direct "), waysTo("e1"));
    CHECK_EQUAL(std::string("direct h2:9 h3:9 "), waysTo("e2"));
    CHECK_TRUE(paths.recordConnection("e1", {}));
    CHECK_EQUAL(std::string("direct h2:9 h3:9 "), waysTo("e1"));
}

/// Guards against a host without paths that spends the time for connecting on each endpoint once.
TEST(EndpointPaths, severalFailuresInARowPutAllPathsInDoubt)
{
    directFails("e1");
    directFails("e2");
    directFails("e2");
    CHECK_FALSE(paths.inDoubt());
    directFails("e3");
    CHECK_TRUE(paths.inDoubt());
    CHECK_EQUAL(std::string("h2:9 h3:9 direct "), waysTo("e4"));
}

TEST(EndpointPaths, endpointsThatFailAmongOthersPutNothingInDoubt)
{
    directFails("e1");
    directFails("e2");
    paths.recordConnection("e9", {});
    directFails("e3");
    directFails("e4");
    CHECK_FALSE(paths.inDoubt());
}

TEST(EndpointPaths, aConnectionThroughAHelperProvesNoPath)
{
    failThree();
    paths.recordConnection("e1", {"h2:9"});
    CHECK_TRUE(paths.inDoubt());
    CHECK_TRUE(paths.isLost("e1"));
}

TEST(EndpointPaths, theHelperThatWorkedIsPreferred)
{
    paths.recordConnection("e1", {"h3:9"});
    CHECK_EQUAL(std::string("direct h3:9 h2:9 "), waysTo("e1"));
    paths.setHelpers({{"h2:9", ""}, {"h3:9", ""}, {"h4:9", ""}, {"h5:9", ""}});
    CHECK_EQUAL(std::string("direct h3:9 h2:9 "), waysTo("e1"));
}

TEST(EndpointPaths, aHelperThatIsUnableComesLast)
{
    paths.recordFailure(at(0), "e1", {"h2:9"}, WayFailure::HelperUnable);
    CHECK_EQUAL(std::string("direct h3:9 h4:9 "), waysTo("e1"));
    paths.recordFailure(at(0), "e1", {"h3:9"}, WayFailure::EndpointUnreachable);
    CHECK_EQUAL(std::string("direct h3:9 h4:9 "), waysTo("e1"));
}

/// Guards against a request whose body reaches a host outside the regions that it is bound to.
TEST(EndpointPaths, helpersAreInTheRegionOfTheEndpoint)
{
    paths.setHelpers({{"h2:9", "north"}, {"h3:9", "south"}});
    CHECK_EQUAL(std::string("direct h3:9 "), waysTo("e1", 0, "south"));
    CHECK_EQUAL(std::string("direct "), waysTo("e1", 0, "east"));
}

TEST(EndpointPaths, lostPathsAreProbedInTurnUntilTheyWork)
{
    CHECK_FALSE(paths.nextProbe(at(0)).has_value());
    failThree();
    for (const std::string &endpoint : std::vector<std::string> {"e1", "e2", "e3", "e1"}) {
        CHECK_EQUAL(endpoint, paths.nextProbe(at(1)).value_or(""));
    }
    for (const std::string &endpoint : std::vector<std::string> {"e1", "e2", "e3"}) {
        paths.recordConnection(endpoint, {});
    }
    CHECK_FALSE(paths.nextProbe(at(1)).has_value());
}

/// Guards against a host that keeps using helpers for endpoints which it never tried itself.
TEST(EndpointPaths, anEndpointThatIsOnlyUsedThroughHelpersIsProbedToo)
{
    failThree();
    waysTo("e4", 1);
    paths.recordConnection("e1", {});
    CHECK_FALSE(paths.inDoubt());
    CHECK_TRUE(paths.isLost("e4"));
    paths.recordConnection("e4", {});
    CHECK_EQUAL(std::string("direct h2:9 h3:9 "), waysTo("e4", 1));
}

TEST(EndpointPaths, pathsToEndpointsThatNoRunNeedsAreForgotten)
{
    directFails("e1");
    CHECK_TRUE(paths.nextProbe(at(29)).has_value());
    CHECK_FALSE(paths.nextProbe(at(31)).has_value());
    CHECK_EQUAL(0U, paths.lostCount());
}

/// Guards against state that grows with the number of endpoints.
TEST(EndpointPaths, theNumberOfLostPathsIsBounded)
{
    for (int number = 0; number < 10'000; ++number) {
        directFails("e" + std::to_string(number));
        waysTo("f" + std::to_string(number));
    }
    CHECK_TRUE(paths.lostCount() <= 64);
    CHECK_TRUE(paths.inDoubt());
}
