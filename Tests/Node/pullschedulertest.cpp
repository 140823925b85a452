// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Node/pullscheduler.h"

#include "Dispatch/fixtures.h"

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using Node::Pull;
using Node::PullScheduler;
using Node::RevisionOrder;
using Tests::at;

TEST_GROUP(PullScheduler) {};

TEST(PullScheduler, aHigherRevisionIsPulledAndAnEqualOneIsNot)
{
    for (const RevisionOrder order : {RevisionOrder::Counter, RevisionOrder::Digest}) {
        PullScheduler scheduler(order);
        CHECK_TRUE(scheduler.selectPull(at(0), "h1", 7, 7) == Pull::None);
        CHECK_TRUE(scheduler.selectPull(at(0), "h1", 8, 7) == Pull::All);
    }
}

/// One host has a newer configuration and the other has newer endpoints.
TEST(PullScheduler, aLowerDigestIsPulledAndALowerCounterIsNot)
{
    CHECK_TRUE(PullScheduler(RevisionOrder::Digest).selectPull(at(0), "h1", 154 + 151, 153 + 155) == Pull::All);
    CHECK_TRUE(PullScheduler(RevisionOrder::Counter).selectPull(at(0), "h1", 305, 308) == Pull::None);
}

TEST(PullScheduler, requestsAreSpacedHoweverManyHostsAdvertise)
{
    PullScheduler scheduler(RevisionOrder::Digest);
    CHECK_TRUE(scheduler.selectPull(at(0), "h1", 9, 7) == Pull::All);
    CHECK_TRUE(scheduler.selectPull(at(0.1), "h2", 9, 7) == Pull::None);
    CHECK_TRUE(scheduler.selectPull(at(0.3), "h1", 9, 7) != Pull::None);
}

TEST(PullScheduler, endpointsArePulledWhileAReplyWithAllIsPending)
{
    PullScheduler scheduler(RevisionOrder::Digest);
    CHECK_TRUE(scheduler.selectPull(at(0), "h1", 9, 7) == Pull::All);
    CHECK_TRUE(scheduler.selectPull(at(0.3), "h2", 9, 7) == Pull::Endpoints);
    scheduler.receiveReply("h2");
    CHECK_TRUE(scheduler.selectPull(at(0.35), "h1", 9, 7) == Pull::None);
    scheduler.receiveReply("h1");
    CHECK_TRUE(scheduler.selectPull(at(0.6), "h2", 9, 7) == Pull::All);

    PullScheduler counterScheduler(RevisionOrder::Counter);
    CHECK_TRUE(counterScheduler.selectPull(at(0), "h1", 9, 7) == Pull::All);
    CHECK_TRUE(counterScheduler.selectPull(at(0.3), "h2", 9, 7) == Pull::None);
}

TEST(PullScheduler, aHostThatDoesNotReplyIsReplacedAfterAGrowingTimeout)
{
    PullScheduler scheduler(RevisionOrder::Digest);
    std::vector<double> asked;
    for (double time = 0; time < 6; time += 0.1) {
        if (scheduler.selectPull(at(time), "h1", 9, 7) == Pull::All) {
            asked.push_back(time);
        }
    }
    CHECK_TRUE(asked.size() >= 4 && asked.size() <= 12);
    CHECK_TRUE(asked[1] - asked[0] < 0.5);
    CHECK_TRUE(asked.back() - asked[asked.size() - 2] > asked[1] - asked[0]);
}

/// Guards against requests to hosts without a configuration. While hosts restarted in turn, one host requested changes from hosts
/// that had just started, with a growing timeout for each, and still used the old configuration 3.4 s after the new one had been
/// acknowledged.
TEST(PullScheduler, aHostWithoutAConfigurationIsNotPulled)
{
    PullScheduler scheduler(RevisionOrder::Digest);
    CHECK_TRUE(scheduler.selectPull(at(0), "h1", 0, 7) == Pull::None);
    CHECK_TRUE(scheduler.selectPull(at(0), "h2", 9, 7) == Pull::All);
}

TEST(PullScheduler, threeUnresponsiveHostsDelayTheFourthByLessThanTwoSeconds)
{
    PullScheduler scheduler(RevisionOrder::Digest);
    int asked = 0;
    for (double time = 0; time < 2.0; time += 0.05) {
        asked += scheduler.selectPull(at(time), "h1", 9, 7) == Pull::All ? 1 : 0;
    }
    CHECK_TRUE(asked >= 4);
}
