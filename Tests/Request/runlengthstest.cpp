// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Request/runlengths.h"

#include <CppUTest/TestHarness.h>

using namespace Yokepond::Request;
using std::chrono::milliseconds;

TEST_GROUP(RunLengths)
{
    RunLengths lengths;
};

TEST(RunLengths, aClassWithoutRunsHasNoLength)
{
    lengths.add("other", milliseconds(5));
    CHECK_FALSE(lengths.usual("once").has_value());
    CHECK_FALSE(lengths.longest("once").has_value());
}

TEST(RunLengths, theUsualLengthIsTheMedian)
{
    for (const int length : {900, 100, 300, 200, 5000}) {
        lengths.add("once", milliseconds(length));
    }
    CHECK_TRUE(lengths.usual("once") == milliseconds(300));
    CHECK_TRUE(lengths.longest("once") == milliseconds(5000));
}

// Guards against a host that takes the runs of long ago for those of now.
TEST(RunLengths, oldRunsAreForgotten)
{
    lengths.add("once", milliseconds(5000));
    for (int run = 0; run < 16; ++run) {
        lengths.add("once", milliseconds(100));
    }
    CHECK_TRUE(lengths.longest("once") == milliseconds(100));
}
