// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/poolparameters.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>
#include <vector>

using namespace Yokepond;
using namespace Yokepond::Dispatch;

TEST_GROUP(PoolParameters)
{
    static constexpr std::uint32_t pool = 1;
    static constexpr std::uint32_t otherPool = 2;

    std::vector<Configuration::RequestClass> classes;

    /// Adds a class that allows @p gapMs milliseconds between tokens; 0: it has no such target.
    void add(int gapMs, std::uint32_t ofPool = pool)
    {
        Configuration::RequestClass requestClass;
        requestClass.number = static_cast<std::uint32_t>(classes.size() + 1);
        requestClass.rank = static_cast<int>(classes.size() + 1);
        requestClass.pool = ofPool;
        requestClass.tokenGap = std::chrono::milliseconds(gapMs);
        classes.push_back(requestClass);
    }

    /// Returns which classes have the tightest gap, in the order in which they were added.
    std::vector<bool> tight(std::uint32_t ofPool = pool)
    {
        Configuration::CatalogueParts parts;
        parts.classes = classes;
        const PoolParameters parameters(Configuration::Catalogue::assemble(std::move(parts)), ofPool);
        std::vector<bool> found;
        std::ranges::transform(classes, std::back_inserter(found), [&](const Configuration::RequestClass &requestClass) {
            return parameters.forClass(requestClass).hasTightestGap;
        });
        return found;
    }
};

/// Guards against engines that are set aside for streams that would not notice a long prefill.
TEST(PoolParameters, onlyTheClassWithTheShortestPausesIsTight)
{
    add(1000);
    add(200);
    add(500);
    CHECK_TRUE((tight() == std::vector {false, true, false}));
}

/// Guards against engines set aside in a pool in which all prompts have the same needs.
TEST(PoolParameters, noClassIsTightIfAllAreAlike)
{
    add(200);
    CHECK_TRUE(tight() == std::vector {false});
    add(200);
    CHECK_TRUE((tight() == std::vector {false, false}));
    add(220);
    CHECK_TRUE((tight() == std::vector {false, false, false}));
}

/// Guards against streams that are late only because the target of another class is a little shorter.
TEST(PoolParameters, twoClassesWithinAFifthAreBothTight)
{
    add(230);
    add(200);
    add(1000);
    CHECK_TRUE((tight() == std::vector {true, true, false}));
}

/// A class that is further away belongs with the others.
TEST(PoolParameters, aClassBeyondAFifthIsNotTight)
{
    add(260);
    add(200);
    CHECK_TRUE((tight() == std::vector {false, true}));
}

/// Guards against classes without a target for pauses that count as the ones with the shortest.
TEST(PoolParameters, aClassWithoutATargetForPausesIsNeverTight)
{
    add(0);
    add(200);
    add(1000);
    CHECK_TRUE((tight() == std::vector {false, true, false}));
}

/// Guards against classes of another pool, whose engines are others.
TEST(PoolParameters, classesOfOtherPoolsDoNotCount)
{
    add(200);
    add(1000, otherPool);
    CHECK_TRUE(tight().front() == false);
    add(50, otherPool);
    add(1000);
    CHECK_TRUE(tight().front() == true);
}

/// A request whose rank differs from that of its class has the same needs of its stream.
TEST(PoolParameters, theRankOfARequestDoesNotMakeItTight)
{
    add(200);
    add(1000);
    Configuration::CatalogueParts parts;
    parts.classes = classes;
    const PoolParameters parameters(Configuration::Catalogue::assemble(std::move(parts)), pool);
    CHECK_TRUE(parameters.forClass(classes.front(), 3).hasTightestGap);
    CHECK_FALSE(parameters.forClass(classes.back(), 1).hasTightestGap);
}
