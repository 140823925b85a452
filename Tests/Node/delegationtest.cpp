// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Node/delegation.h"

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

#include <set>

using namespace Yokepond;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(Delegation)
{
    Node::Delegation delegation {{}, 1};
    Base::Instant now {seconds(100)};
    std::vector<std::string> candidates;

    void setup() override
    {
        for (int index = 0; index < 40; ++index) {
            candidates.push_back(fmt::format("h{}", index));
        }
    }

    std::vector<std::string> askedAfter(Base::Duration time, bool able = false)
    {
        now += time;
        return delegation.tick(now, able, candidates);
    }

    void refuse(const std::vector<std::string> &asked)
    {
        for (const std::string &name : asked) {
            delegation.receiveReply(name, false);
        }
    }
};

TEST(Delegation, whoeverCanDoTheDutyAsksNobody)
{
    CHECK_EQUAL(0U, askedAfter(seconds(1), true).size());
}

TEST(Delegation, eachRoundInVainAsksTwiceAsManyOthers)
{
    std::set<std::string> all;
    for (const std::size_t expected : {1U, 2U, 4U, 8U}) {
        const std::vector<std::string> asked = askedAfter(milliseconds(50));
        CHECK_EQUAL(expected, asked.size());
        all.insert(asked.begin(), asked.end());
        refuse(asked);
    }
    CHECK_EQUAL(15U, all.size());
    CHECK_EQUAL(0U, askedAfter(seconds(5)).size());
    // The platform may be away for all; it is not to be asked by all hosts all the time.
    CHECK_EQUAL(1U, askedAfter(seconds(5)).size());
}

TEST(Delegation, whoDoesNotAnswerIsTakenToBeUnable)
{
    CHECK_EQUAL(1U, askedAfter(milliseconds(50)).size());
    CHECK_EQUAL(0U, askedAfter(milliseconds(700)).size());
    CHECK_EQUAL(2U, askedAfter(milliseconds(150)).size());
}

TEST(Delegation, whoDoesItIsAskedAgainAndReplacedWhenItIsGone)
{
    const std::vector<std::string> asked = askedAfter(milliseconds(50));
    delegation.receiveReply(asked.front(), true);
    CHECK_EQUAL(0U, askedAfter(seconds(1)).size());
    CHECK_TRUE(asked == askedAfter(seconds(1)));
    CHECK_EQUAL(0U, askedAfter(milliseconds(700)).size());
    CHECK_EQUAL(2U, askedAfter(milliseconds(150)).size());
}

TEST(Delegation, anAnswerOfAHostThatWasNotAskedChangesNothing)
{
    delegation.receiveReply("h1", true);
    CHECK_EQUAL(1U, askedAfter(milliseconds(50)).size());
}

TEST(Delegation, whoeverCanDoItAgainStartsAnew)
{
    refuse(askedAfter(milliseconds(50)));
    CHECK_EQUAL(0U, askedAfter(milliseconds(50), true).size());
    CHECK_EQUAL(1U, askedAfter(milliseconds(50)).size());
}
