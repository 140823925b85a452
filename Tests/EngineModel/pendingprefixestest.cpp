// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "EngineModel/pendingprefixes.h"

#include "Dispatch/fixtures.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::EngineModel;
using Tests::at;

TEST_GROUP(PendingPrefixes)
{
    PendingPrefixes pending;
    const std::vector<std::uint64_t> chain {11, 12, 13}; ///< from the shortest prefix to the longest

    void setup() override
    {
        pending.add({7, 11, 1'000, at(1), 1}, at(0));
        pending.add({7, 12, 2'000, at(1), 1}, at(0));
    }
};

/// Guards against a request that waits for a short common beginning although more of its prompt is being prefilled.
TEST(PendingPrefixes, theLongestPendingPrefixCounts)
{
    const auto found = pending.longest(chain);
    CHECK_TRUE(found.has_value());
    CHECK_EQUAL(12U, found->hash);
    CHECK_EQUAL(2'000U, found->tokens);
    CHECK_TRUE(found->expectedEnd == at(1));
    CHECK_FALSE(pending.longest(std::vector<std::uint64_t> {21, 22}).has_value());
    CHECK_FALSE(pending.longest({}).has_value());
}

/// Guards against requests that wait for the later of two prefills of the same prefix.
TEST(PendingPrefixes, theEarlierPrefillCounts)
{
    pending.add({7, 12, 2'000, at(9), 2}, at(0));
    CHECK_EQUAL(2U, pending.size());
    CHECK_EQUAL(1U, pending.longest(chain)->prefill);
    CHECK_TRUE(pending.longest(chain)->expectedEnd == at(1));
}

/// Guards against requests that all prefill a prefix, because an engine that stopped was given it first.
TEST(PendingPrefixes, aPrefillThatShouldHaveEndedIsReplaced)
{
    pending.add({8, 12, 2'000, at(9), 2}, at(1));
    CHECK_EQUAL(2U, pending.longest(chain)->prefill);
    CHECK_EQUAL(8U, pending.longest(chain)->endpoint);
}

/// Guards against the end of one prefill that removes the entry of another one, so that the prefix is prefilled twice.
TEST(PendingPrefixes, onlyThePrefillThatReadsAPrefixRemovesIt)
{
    pending.add({7, 13, 3'000, at(2), 2}, at(0));
    pending.remove(chain, 2);
    CHECK_EQUAL(12U, pending.longest(chain)->hash);
    pending.remove(chain, 3);
    CHECK_EQUAL(2U, pending.size());
    pending.remove(chain, 1);
    CHECK_EQUAL(0U, pending.size());
    CHECK_FALSE(pending.longest(chain).has_value());
}

/// Guards against a prefix that can no longer be awaited after one prefill of it was cancelled.
TEST(PendingPrefixes, aRemovedPrefixCanBePendingAgain)
{
    pending.remove(chain, 1);
    pending.add({7, 12, 2'000, at(5), 4}, at(0));
    CHECK_EQUAL(4U, pending.longest(chain)->prefill);
}
