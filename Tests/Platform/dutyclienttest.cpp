// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "platform/dutyclient.h"

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using Http::TransferStage;
using Lease::WriteResult;
using Platform::readDutyRow;
using Platform::readWriteAnswer;

namespace {

Http::TransferResult answered(int status)
{
    Http::TransferResult result;
    result.stage = TransferStage::Complete;
    result.status = status;
    return result;
}

} // namespace

TEST_GROUP(DutyClient) {};

TEST(DutyClient, theRowIsReadWithItsVersion)
{
    const auto row
        = readDutyRow("usage", R"({"rows":[{"table":"yokepond","part":"","key_file":"other","value":"eA==","schema_version":7},
        {"table":"yokepond","part":"","key_file":"usage","value":"bm9kZS0x","schema_version":412}],"schema_version":530,"now_ms":1})");
    CHECK_EQUAL(412U, row->version);
    CHECK_EQUAL(std::string("node-1"), row->value);
}

TEST(DutyClient, anAbsentRowHasNoVersion)
{
    CHECK_EQUAL(0U, readDutyRow("usage", R"({"rows":[],"schema_version":530})")->version);
}

TEST(DutyClient, whatCannotBeReadIsNoRow)
{
    for (const char *body :
         {"", "[]", "{}", R"({"rows":7})", R"({"rows":[{"key_file":"usage","schema_version":"x","value":"eA=="}]})",
          R"({"rows":[{"key_file":"usage","schema_version":5}]})"}) {
        CHECK_FALSE(readDutyRow("usage", body).has_value());
    }
}

TEST(DutyClient, aWritesAnswerTellsWhetherItWasDone)
{
    const auto done = readWriteAnswer("usage", answered(200), R"({"schema_version":412,"now_ms":51230})");
    CHECK_TRUE(done.result == WriteResult::Done);
    CHECK_EQUAL(412U, done.version);
    const auto refused = readWriteAnswer(
        "usage", answered(412), R"({"rows":[{"key_file":"usage","value":"eA==","schema_version":9}],"schema_version":10})");
    CHECK_TRUE(refused.result == WriteResult::VersionMismatch);
    CHECK_EQUAL(9U, refused.row->version);
    CHECK_TRUE(readWriteAnswer("usage", answered(503), "").result == WriteResult::NotApplied);
    CHECK_TRUE(readWriteAnswer("usage", answered(429), "").result == WriteResult::NotApplied);
}

/// Only the store's own word, or a call that never left, says that nothing was done.
TEST(DutyClient, allElseIsUndetermined)
{
    CHECK_TRUE(readWriteAnswer("usage", answered(500), "").result == WriteResult::Undetermined);
    CHECK_TRUE(readWriteAnswer("usage", answered(200), "no JSON").result == WriteResult::Undetermined);
    CHECK_TRUE(readWriteAnswer("usage", answered(200), R"({"schema_version":"x"})").result == WriteResult::Undetermined);
    Http::TransferResult cut;
    cut.stage = TransferStage::Sent;
    CHECK_TRUE(readWriteAnswer("usage", cut, "").result == WriteResult::Undetermined);
    cut.stage = TransferStage::ResponseStarted;
    cut.status = 503;
    CHECK_TRUE(readWriteAnswer("usage", cut, "").result == WriteResult::Undetermined);
    cut.stage = TransferStage::NotSent;
    CHECK_TRUE(readWriteAnswer("usage", cut, "").result == WriteResult::NotApplied);
}
