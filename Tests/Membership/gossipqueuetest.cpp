// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Membership/gossipqueue.h"

#include <CppUTest/TestHarness.h>

using namespace Yokepond::Membership;

using Names = std::vector<std::string>;

TEST_GROUP(GossipQueue)
{
    GossipQueue queue;
};

TEST(GossipQueue, theLatestOfThoseSentLeastOftenIsNext)
{
    queue.add("a");
    queue.add("b");
    CHECK_TRUE(queue.take(1, 9) == (Names {"b"}));
    queue.add("c");
    CHECK_TRUE(queue.members() == (Names {"c", "a", "b"}));
}

TEST(GossipQueue, aMemberIsRemovedOnceItWasSentOftenEnough)
{
    queue.add("a");
    CHECK_TRUE(queue.take(2, 2) == (Names {"a"}));
    CHECK_TRUE(queue.contains("a"));
    queue.take(2, 2);
    CHECK_TRUE(queue.empty());
}

TEST(GossipQueue, anAddedMemberStartsAnew)
{
    queue.add("a");
    queue.add("b");
    queue.take(2, 9);
    queue.add("a");
    CHECK_EQUAL(2U, queue.size());
    CHECK_TRUE(queue.members() == (Names {"a", "b"}));
}
