// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Node/recordagreement.h"

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using Node::RecordAgreement;
using std::chrono::seconds;

TEST_GROUP(RecordAgreement)
{
    RecordAgreement agreement;
    const Base::Instant now = Base::now();
};

TEST(RecordAgreement, aDifferenceLastsUntilAnotherHostHasTheSame)
{
    agreement.receiveDigest(now, "h2", 5, 5);
    CHECK_TRUE(agreement.differsFor(now) == Base::Duration::zero());
    agreement.receiveDigest(now + seconds(1), "h2", 6, 5);
    agreement.receiveDigest(now + seconds(3), "h3", 7, 5);
    CHECK_TRUE(agreement.differsFor(now + seconds(4)) == seconds(3));
    agreement.receiveDigest(now + seconds(4), "h3", 7, 7);
    CHECK_TRUE(agreement.differsFor(now + seconds(5)) == Base::Duration::zero());
}

TEST(RecordAgreement, aHostWithoutRecordsDoesNotDiffer)
{
    agreement.receiveDigest(now, "h2", 0, 5);
    CHECK_TRUE(agreement.differsFor(now + seconds(1)) == Base::Duration::zero());
}
