// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Lease/lease.h"

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using Lease::WriteResult;
using std::chrono::milliseconds;

namespace {

Base::Instant at(int ms)
{
    return Base::Instant(std::chrono::seconds(1000)) + milliseconds(ms);
}

constexpr std::uint64_t self = 7;
constexpr std::uint64_t other = 8;

} // namespace

TEST_GROUP(Lease)
{
    Lease::Lease lease {{.validity = milliseconds(2000), .takeoverDelay = milliseconds(3500)}, self};

    void acquire(int ms, std::uint64_t version)
    {
        lease.writeStarted(at(ms));
        lease.writeFinished(WriteResult::Done, version);
    }
};

TEST(Lease, nothingIsWrittenBeforeTheRowIsRead)
{
    CHECK_TRUE(lease.needsRead());
    CHECK_FALSE(lease.mayWrite(at(10'000)));
}

TEST(Lease, anAbsentRowIsTakenAtOnce)
{
    lease.updateRow(at(0), {0, 0});
    CHECK_TRUE(lease.mayWrite(at(0)));
    CHECK_EQUAL(0U, lease.expectedVersion());
    acquire(0, 40);
    CHECK_EQUAL(40U, lease.fence(at(100)).value());
}

TEST(Lease, anotherHoldersRowIsTakenOnlyAfterTheTakeoverDelay)
{
    lease.updateRow(at(0), {40, other});
    CHECK_FALSE(lease.mayWrite(at(3499)));
    CHECK_TRUE(lease.mayWrite(at(3500)));
}

TEST(Lease, aChangeOfAnotherHoldersRowRestartsTheTakeoverDelay)
{
    lease.updateRow(at(0), {40, other});
    lease.updateRow(at(3000), {41, other});
    CHECK_FALSE(lease.mayWrite(at(3600)));
    CHECK_TRUE(lease.mayWrite(at(6500)));
}

TEST(Lease, validityCountsFromWhenTheWriteWasSent)
{
    lease.updateRow(at(0), {0, 0});
    lease.writeStarted(at(0));
    // The response arrived late.
    lease.writeFinished(WriteResult::Done, 40);
    CHECK_TRUE(lease.fence(at(1999)).has_value());
    CHECK_FALSE(lease.fence(at(2000)).has_value());
    CHECK_TRUE(lease.remainingTime(at(1500)) == milliseconds(500));
    CHECK_TRUE(lease.remainingTime(at(5000)) == milliseconds(0));
}

TEST(Lease, renewalsKeepTheFencingToken)
{
    lease.updateRow(at(0), {0, 0});
    acquire(0, 40);
    acquire(5000, 55);
    CHECK_EQUAL(40U, lease.fence(at(5100)).value());
    CHECK_EQUAL(55U, lease.expectedVersion());
}

TEST(Lease, aLostResponseGivesNoLeaseUntilTheRowWasReadAndWrittenAgain)
{
    lease.updateRow(at(0), {0, 0});
    lease.writeStarted(at(0));
    lease.writeFinished(WriteResult::Undetermined, 0);
    CHECK_TRUE(lease.needsRead());
    CHECK_FALSE(lease.mayWrite(at(100)));
    lease.updateRow(at(1600), {40, self});
    CHECK_FALSE(lease.fence(at(1600)).has_value());
    CHECK_TRUE(lease.mayWrite(at(1600)));
    acquire(1600, 41);
    CHECK_EQUAL(40U, lease.fence(at(1700)).value());
}

TEST(Lease, aVersionMismatchEndsTheLease)
{
    lease.updateRow(at(0), {0, 0});
    acquire(0, 40);
    lease.writeStarted(at(1000));
    lease.writeFinished(WriteResult::VersionMismatch, 0);
    CHECK_FALSE(lease.fence(at(1100)).has_value());
    lease.updateRow(at(1100), {50, other});
    CHECK_FALSE(lease.isHeld());
    CHECK_FALSE(lease.mayWrite(at(4000)));
    CHECK_TRUE(lease.mayWrite(at(4600)));
    acquire(4600, 60);
    CHECK_EQUAL(60U, lease.fence(at(4700)).value());
}

TEST(Lease, anOutdatedReadIsIgnored)
{
    lease.updateRow(at(0), {50, other});
    lease.updateRow(at(3000), {40, other});
    CHECK_EQUAL(50U, lease.expectedVersion());
    CHECK_TRUE(lease.mayWrite(at(3500)));
}
