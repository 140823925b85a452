// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/laterefusals.h"

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::Dispatch;

TEST_GROUP(LateRefusals)
{
    static constexpr Configuration::Urgency leastUrgent {2, 3};

    LateRefusals refusals;

    static ClassParameters parametersOf(std::uint32_t number, const Configuration::Urgency &urgency)
    {
        ClassParameters parameters;
        parameters.number = number;
        parameters.urgency = urgency;
        return parameters;
    }

    /// Asks @p count times for the class, and returns how many of these asks may be refused.
    int refusalsOf(int count, const ClassParameters &parameters)
    {
        int refused = 0;
        for (int index = 0; index < count; ++index) {
            refusals.earn(parameters.number);
            refused += refusals.spend(parameters, leastUrgent) ? 1 : 0;
        }
        return refused;
    }
};

/// Guards against refusals of ten or more and over a twelfth of a class's asks while less urgent ones are served, however many
/// refusals were saved before.
TEST(LateRefusals, noMoreThanATwelfthOfAClassIsRefused)
{
    const ClassParameters urgent = parametersOf(1, {2, 1});
    for (int count = 10; count <= 2000; count += 7) {
        refusals = {};
        for (int quiet = 0; quiet < 5000; ++quiet) {
            refusals.earn(urgent.number);
        }
        const int refused = refusalsOf(count, urgent);
        CHECK_TEXT(refused < 10 || refused * 12 <= count, fmt::format("{} of {}", refused, count).c_str());
    }
}

/// Guards against a class with few asks that is refused for the many asks of another class of the same urgency.
TEST(LateRefusals, theAsksOfOneClassAllowNoRefusalsOfAnother)
{
    for (int index = 0; index < 1000; ++index) {
        refusals.earn(1);
    }
    CHECK_TRUE(refusalsOf(100, parametersOf(2, {2, 1})) <= 8);
}

TEST(LateRefusals, theLeastUrgentAsksHaveNoLimit)
{
    CHECK_EQUAL(50, refusalsOf(50, parametersOf(3, leastUrgent)));
    CHECK_EQUAL(50, refusalsOf(50, parametersOf(3, {3, 1})));
}
