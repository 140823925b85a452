// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Base/tokenbucket.h"

#include <CppUTest/TestHarness.h>

#include <random>

using Yokepond::Base::TokenBucket;

TEST_GROUP(TokenBucket)
{
    std::mt19937_64 random {7};
    std::uniform_real_distribution<double> draw {0.0, 1.0};
};

TEST(TokenBucket, aWholeTokenIsSpentWithoutADraw)
{
    TokenBucket bucket(1.5, 2);
    CHECK_TRUE(bucket.spendOrStake(0.999));
    DOUBLES_EQUAL(0.5, bucket.left(), 1e-9);
}

// Guards against retries that no host of a large fleet can make, and against more of them than all hosts together may make.
TEST(TokenBucket, manySmallSharesAreSpentTogether)
{
    constexpr int buckets = 10'000;
    constexpr double share = 0.3;
    int spent = 0;
    for (int index = 0; index < buckets; ++index) {
        TokenBucket bucket(share, share);
        for (int attempt = 0; attempt < 3; ++attempt) {
            spent += bucket.spendOrStake(draw(random)) ? 1 : 0;
        }
    }
    DOUBLES_EQUAL(share * buckets, spent, 0.05 * share * buckets);
}
