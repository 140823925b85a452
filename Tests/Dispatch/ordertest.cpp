// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/order.h"

#include "Dispatch/fixtures.h"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace Yokepond;
using namespace Yokepond::Dispatch;
using Tests::at;

TEST_GROUP(Order)
{
    TieredOrder order {0.1};
    std::uint64_t next = 1;

    QueuedAsk ask(int rank, double arrival, std::uint32_t organisation = 1, std::uint32_t weight = 1)
    {
        QueuedAsk made;
        made.key = {1, {next++, 1}};
        made.parameters = {static_cast<std::uint32_t>(rank),
                           {rank, rank},
                           std::chrono::seconds(1),
                           std::chrono::milliseconds(37),
                           std::chrono::seconds(10)};
        made.ask.organisation = organisation;
        made.weight = weight;
        made.arrival = at(arrival);
        made.deadline = at(arrival + 30);
        return made;
    }

    QueuedAsk serve(double now)
    {
        const auto key = order.next(at(now), Base::Duration::zero());
        CHECK_TRUE(key.has_value());
        return *order.serve(*key);
    }
};

TEST(Order, higherTierGoesFirst)
{
    order.insert(ask(2, 0));
    order.insert(ask(1, 0.5));
    CHECK_EQUAL(1, serve(0.6).parameters.urgency.rank);
    CHECK_EQUAL(2, serve(0.6).parameters.urgency.rank);
}

TEST(Order, asksThatCanStillMeetTheirTargetGoBeforeLateOnes)
{
    const QueuedAsk late = ask(1, 0);
    const QueuedAsk onTime = ask(1, 2);
    order.insert(late);
    order.insert(onTime);
    CHECK_TRUE(serve(2.5).key == onTime.key);
    CHECK_TRUE(serve(2.5).key == late.key);
}

TEST(Order, organisationsShareByWeight)
{
    for (int index = 0; index < 100; ++index) {
        order.insert(ask(1, 0, 1, 1));
        order.insert(ask(1, 0, 2, 3));
    }
    std::map<std::uint32_t, int> served;
    for (int index = 0; index < 40; ++index) {
        ++served[serve(0.1).ask.organisation];
    }
    CHECK_TRUE(served[1] >= 9 && served[1] <= 11);
    CHECK_TRUE(served[2] >= 29 && served[2] <= 31);
}

TEST(Order, aLargeOrganisationCannotCrowdOutASmallOne)
{
    for (int index = 0; index < 1000; ++index) {
        order.insert(ask(1, 0, 1));
    }
    order.insert(ask(1, 0.1, 2));
    bool found = false;
    for (int index = 0; index < 3; ++index) {
        found = found || serve(0.2).ask.organisation == 2;
    }
    CHECK_TRUE(found);
}

TEST(Order, overdueClassGetsItsGuaranteedShareAndNoMore)
{
    for (int index = 0; index < 200; ++index) {
        order.insert(ask(1, 20));
        order.insert(ask(3, 0));
    }
    int low = 0;
    for (int index = 0; index < 100; ++index) {
        low += serve(20.1).parameters.urgency.rank == 3 ? 1 : 0;
    }
    CHECK_TRUE(low >= 8 && low <= 11);
}

TEST(Order, theAskWithTheNearestDeadlineInTheLowestTierIsEvicted)
{
    const QueuedAsk first = ask(3, 1);
    const QueuedAsk second = ask(3, 2);
    order.insert(ask(1, 0));
    order.insert(second);
    order.insert(first);
    CHECK_TRUE(order.evictionCandidate(ask(1, 3)) == first.key);
    const QueuedAsk lower = ask(4, 3);
    CHECK_TRUE(order.evictionCandidate(lower) == lower.key);
}

TEST(Order, removedAskIsNeverServed)
{
    const QueuedAsk removed = ask(1, 0);
    order.insert(removed);
    order.insert(ask(1, 1));
    CHECK_TRUE(order.remove(removed.key).has_value());
    CHECK_FALSE(order.remove(removed.key).has_value());
    CHECK_FALSE(serve(1).key == removed.key);
    CHECK_EQUAL(0U, order.size());
}

TEST(Order, expiredReturnsTheAsksPastTheirDeadline)
{
    order.insert(ask(2, 0));
    order.insert(ask(1, 10));
    CHECK_EQUAL(1U, order.expired(at(30)).size());
}
