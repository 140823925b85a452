// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/askqueue.h"

#include "Dispatch/fixtures.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::Dispatch;
using Tests::at;

TEST_GROUP(AskQueue)
{
    static constexpr std::uint64_t prefix = 77;
    static constexpr std::uint64_t otherPrefix = 78;

    AskQueue queue {Configuration::Policies {.order = Configuration::OrderPolicy::Tiered}};
    std::uint64_t next = 1;

    QueuedAsk insert(int rank, double arrival)
    {
        QueuedAsk made;
        made.key = {1, {next++, 1}};
        made.parameters = {static_cast<std::uint32_t>(rank),
                           {rank, rank},
                           std::chrono::seconds(1),
                           std::chrono::milliseconds(37),
                           std::chrono::seconds(10)};
        made.arrival = at(arrival);
        made.deadline = at(arrival + 30);
        queue.insert(made);
        return made;
    }

    QueuedAsk insertHeld(int rank, double arrival, std::uint64_t hash = prefix)
    {
        QueuedAsk made = insert(rank, arrival);
        queue.hold(made.key, hash, at(5));
        return made;
    }

    bool isNext(const QueuedAsk &ask, double now)
    {
        return queue.next(at(now), Base::Duration::zero()) == ask.key;
    }
};

/// Guards against asks that wait behind one on hold.
TEST(AskQueue, anAskOnHoldIsNotServedAndTheOthersAre)
{
    const QueuedAsk held = insertHeld(1, 0);
    CHECK_FALSE(queue.next(at(0), Base::Duration::zero()).has_value());
    const QueuedAsk behind = insert(3, 0.1);
    CHECK_TRUE(isNext(behind, 0.1));
    CHECK_TRUE(queue.serve(behind.key).has_value());
    CHECK_FALSE(queue.serve(held.key).has_value());
    CHECK_EQUAL(1U, queue.held());
}

/// Guards against asks on hold that are forgotten: each must be refused, granted or withdrawn.
TEST(AskQueue, asksOnHoldAreFoundListedAndCounted)
{
    const QueuedAsk held = insertHeld(2, 0);
    const QueuedAsk ordered = insert(1, 0);
    CHECK_TRUE(queue.find(held.key) != nullptr && queue.find(held.key)->key == held.key);
    CHECK_TRUE(queue.find(ordered.key) != nullptr);
    CHECK_EQUAL(2U, queue.size());
    CHECK_EQUAL(1U, queue.countAtLeastAsUrgent({1, 1}));
    CHECK_EQUAL(2U, queue.countAtLeastAsUrgent({2, 2}));
    const auto all = queue.all();
    CHECK_EQUAL(2U, all.size());
    CHECK_TRUE(std::ranges::any_of(all, [&](const QueuedAsk *ask) { return ask->key == held.key; }));
}

/// Guards against a withdrawn ask that returns from its hold and is granted.
TEST(AskQueue, aRemovedAskDoesNotReturnFromItsHold)
{
    const QueuedAsk held = insertHeld(1, 0);
    const auto removed = queue.remove(held.key);
    CHECK_TRUE(removed.has_value() && removed->key == held.key);
    CHECK_FALSE(queue.remove(held.key).has_value());
    queue.returnDue(at(10));
    queue.returnFor(std::vector<std::uint64_t> {prefix});
    CHECK_EQUAL(0U, queue.size());
    CHECK_TRUE(queue.find(held.key) == nullptr);
    CHECK_FALSE(queue.next(at(10), Base::Duration::zero()).has_value());
}

/// Guards against asks that stay on hold past their deadline.
TEST(AskQueue, asksOnHoldExpire)
{
    const QueuedAsk held = insertHeld(1, 0);
    insert(1, 5);
    CHECK_TRUE(queue.expired(at(29.9)).empty());
    CHECK_TRUE(queue.expired(at(30)) == std::vector<AskKey> {held.key});
}

/// Guards against asks of higher tiers that are shed while those of lower ones are on hold.
TEST(AskQueue, theLowestTierIsEvictedFirstAlsoIfItIsOnHold)
{
    const QueuedAsk held = insertHeld(3, 0);
    insert(2, 0);
    const QueuedAsk newAsk = insert(1, 0.1);
    CHECK_TRUE(queue.evictionCandidate(newAsk) == held.key);
    CHECK_EQUAL(1U, queue.held());
    CHECK_TRUE(queue.remove(held.key).has_value());
    CHECK_EQUAL(2U, queue.size());
}

/// Guards against asks on hold that are evicted before those of lower tiers in the order.
TEST(AskQueue, anAskOnHoldIsKeptBeforeLowerTiers)
{
    insertHeld(1, 0);
    const QueuedAsk low = insert(3, 0);
    const QueuedAsk newAsk = insert(2, 0.1);
    CHECK_TRUE(queue.evictionCandidate(newAsk) == low.key);
}

/// Guards against asks that wait for ever for a prefill that never ends.
TEST(AskQueue, asksReturnByTime)
{
    const QueuedAsk held = insertHeld(1, 0);
    queue.returnDue(at(4.9));
    CHECK_EQUAL(1U, queue.held());
    queue.returnDue(at(5));
    CHECK_EQUAL(0U, queue.held());
    CHECK_TRUE(isNext(held, 5));
}

/// Guards against asks that stay on hold after the prefix has been prefilled, and against those that return too early.
TEST(AskQueue, asksReturnForTheirPrefixOnly)
{
    const QueuedAsk held = insertHeld(1, 0);
    const QueuedAsk other = insertHeld(1, 0, otherPrefix);
    queue.returnFor(std::vector<std::uint64_t> {1, prefix});
    CHECK_EQUAL(1U, queue.held());
    CHECK_TRUE(isNext(held, 0.1));
    CHECK_EQUAL(2U, queue.size());
    queue.serve(held.key);
    CHECK_FALSE(queue.next(at(0.1), Base::Duration::zero()).has_value());
    CHECK_TRUE(queue.find(other.key) != nullptr);
}

/// Guards against asks that lose their place in the order by a hold.
TEST(AskQueue, anAskReturnsToItsPlaceInTheOrder)
{
    const QueuedAsk held = insertHeld(1, 0);
    insert(1, 0.5);
    insert(2, 0);
    queue.returnFor(std::vector<std::uint64_t> {prefix});
    CHECK_TRUE(isNext(held, 0.6));
}
