// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Request/journal.h"

#include "faketable.h"

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::Request;
using Tests::FakeTable;

TEST_GROUP(Journal)
{
    FakeTable table;
    Journal<FakeTable> one {table, "h1", 1};
    Journal<FakeTable> two {table, "h2", 2};

    std::pair<ClaimResult, OperationRecord> claim(Journal<FakeTable> & journal, const std::string &key)
    {
        std::pair<ClaimResult, OperationRecord> answer {ClaimResult::Unavailable, {}};
        journal.claim(key, "body", [&](ClaimResult result, const OperationRecord &record) { answer = {result, record}; });
        return answer;
    }
};

TEST(Journal, firstClaimWinsAndTheSecondLearnsWhose)
{
    CHECK_TRUE(claim(one, "k").first == ClaimResult::Acquired);
    const auto second = claim(two, "k");
    CHECK_TRUE(second.first == ClaimResult::AlreadyClaimed);
    STRCMP_EQUAL("h1", second.second.home.c_str());
}

TEST(Journal, lostAnswerOfAClaimThatStandsIsMine)
{
    table.fault = FakeTable::Fault::LoseResponse;
    CHECK_TRUE(claim(one, "k").first == ClaimResult::Acquired);
}

TEST(Journal, lostClaimThatMayStillArriveIsUnavailable)
{
    table.fault = FakeTable::Fault::LoseRequest;
    CHECK_TRUE(claim(one, "k").first == ClaimResult::Unavailable);
}

TEST(Journal, absentTableIsUnavailable)
{
    table.unreachable = true;
    CHECK_TRUE(claim(one, "k").first == ClaimResult::Unavailable);
}

TEST(Journal, outcomesOutlastAnAbsentTable)
{
    const auto claimed = claim(one, "k");
    OperationRecord ended = claimed.second;
    ended.outcome = Outcome::Completed;
    table.unreachable = true;
    one.record("k", ended);
    one.flush();
    CHECK_EQUAL(1U, one.pendingOutcomes());
    table.unreachable = false;
    one.flush();
    CHECK_EQUAL(0U, one.pendingOutcomes());
    CHECK_TRUE(claim(two, "k").second.outcome == Outcome::Completed);
}

TEST(Journal, recordSurvivesItsTextForm)
{
    const OperationRecord record {"h1", 9, "token", "body", Outcome::Unknown, 5};
    CHECK_TRUE(recordFromText(recordToText(record)) == record);
    CHECK_FALSE(recordFromText("{}").has_value());
}
