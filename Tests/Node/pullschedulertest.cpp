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

TEST(PullScheduler, aHigherRevisionIsAskedForAndAnEqualOneNot)
{
    for (const RevisionOrder order : {RevisionOrder::Counter, RevisionOrder::Digest}) {
        PullScheduler pulls(order);
        CHECK_TRUE(pulls.selectPull(at(0), "h1", 7, 7) == Pull::None);
        CHECK_TRUE(pulls.selectPull(at(0), "h1", 8, 7) == Pull::All);
    }
}

/// One host has a newer configuration, the other newer endpoints.
TEST(PullScheduler, aLowerDigestMayHoldWhatIsMissingHere)
{
    CHECK_TRUE(PullScheduler(RevisionOrder::Digest).selectPull(at(0), "h1", 154 + 151, 153 + 155) == Pull::All);
    CHECK_TRUE(PullScheduler(RevisionOrder::Counter).selectPull(at(0), "h1", 305, 308) == Pull::None);
}

TEST(PullScheduler, asksAreSpacedHoweverManyTell)
{
    PullScheduler pulls(RevisionOrder::Digest);
    CHECK_TRUE(pulls.selectPull(at(0), "h1", 9, 7) == Pull::All);
    CHECK_TRUE(pulls.selectPull(at(0.1), "h2", 9, 7) == Pull::None);
    CHECK_TRUE(pulls.selectPull(at(0.3), "h1", 9, 7) != Pull::None);
}

TEST(PullScheduler, whileAllIsOnItsWayOthersAreAskedForWhatIsSmall)
{
    PullScheduler pulls(RevisionOrder::Digest);
    CHECK_TRUE(pulls.selectPull(at(0), "h1", 9, 7) == Pull::All);
    CHECK_TRUE(pulls.selectPull(at(0.3), "h2", 9, 7) == Pull::Endpoints);
    pulls.receiveReply("h2");
    CHECK_TRUE(pulls.selectPull(at(0.35), "h1", 9, 7) == Pull::None);
    pulls.receiveReply("h1");
    CHECK_TRUE(pulls.selectPull(at(0.6), "h2", 9, 7) == Pull::All);

    PullScheduler counted(RevisionOrder::Counter);
    CHECK_TRUE(counted.selectPull(at(0), "h1", 9, 7) == Pull::All);
    CHECK_TRUE(counted.selectPull(at(0.3), "h2", 9, 7) == Pull::None);
}

TEST(PullScheduler, whoDoesNotAnswerIsReplacedAndEachWaitIsLonger)
{
    PullScheduler pulls(RevisionOrder::Digest);
    std::vector<double> asked;
    for (double time = 0; time < 6; time += 0.1) {
        if (pulls.selectPull(at(time), "h1", 9, 7) == Pull::All) {
            asked.push_back(time);
        }
    }
    CHECK_TRUE(asked.size() >= 4 && asked.size() <= 12);
    CHECK_TRUE(asked[1] - asked[0] < 0.5);
    CHECK_TRUE(asked.back() - asked[asked.size() - 2] > asked[1] - asked[0]);
}

/// Seen: hosts restarted in turn, and one served requests as an older configuration says 3.4 s after the newer one had been
/// acknowledged. It had asked hosts that had just started, one after the other, and waited longer for each.
TEST(PullScheduler, aHostThatKnowsNothingYetIsNotAsked)
{
    PullScheduler pulls(RevisionOrder::Digest);
    CHECK_TRUE(pulls.selectPull(at(0), "h1", 0, 7) == Pull::None);
    CHECK_TRUE(pulls.selectPull(at(0), "h2", 9, 7) == Pull::All);
}

TEST(PullScheduler, threeThatDoNotAnswerDelayTheFourthByLessThanTwoSeconds)
{
    PullScheduler pulls(RevisionOrder::Digest);
    int asked = 0;
    for (double time = 0; time < 2.0; time += 0.05) {
        asked += pulls.selectPull(at(time), "h1", 9, 7) == Pull::All ? 1 : 0;
    }
    CHECK_TRUE(asked >= 4);
}
