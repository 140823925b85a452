// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Node/listrequests.h"

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using std::chrono::milliseconds;

TEST_GROUP(ListRequests) {};

// Guards against lists of thousands of endpoints that are sent with every probe.
TEST(ListRequests, listsAreAskedForEverMoreRarely)
{
    Node::ListRequests requests(std::chrono::seconds(2));
    const Base::Instant now = Base::now();
    CHECK_FALSE(requests.take(now, false));
    CHECK_TRUE(requests.take(now, true));
    CHECK_TRUE(requests.isFirst());
    CHECK_FALSE(requests.take(now + milliseconds(900), true));
    CHECK_TRUE(requests.take(now + milliseconds(1000), true));
    CHECK_FALSE(requests.take(now + milliseconds(2900), true));
    CHECK_TRUE(requests.take(now + milliseconds(3000), true));
    CHECK_FALSE(requests.isFirst());
    CHECK_FALSE(requests.take(now + milliseconds(4900), true));
    CHECK_TRUE(requests.take(now + milliseconds(5000), true));
    CHECK_FALSE(requests.take(now + milliseconds(7000), false));
    CHECK_TRUE(requests.take(now + milliseconds(7000), true));
    CHECK_TRUE(requests.take(now + milliseconds(8000), true));
}
