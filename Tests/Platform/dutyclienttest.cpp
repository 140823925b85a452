// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "platform/dutyclient.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <string>

using namespace Yokepond;
using Http::TransferStage;
using Lease::WriteResult;
using Platform::parseDutyRow;
using Platform::parseWriteResponse;

namespace {

Http::TransferResult responded(int status)
{
    Http::TransferResult result;
    result.stage = TransferStage::Complete;
    result.status = status;
    return result;
}

} // namespace

TEST_GROUP(DutyClient) {};

TEST(DutyClient, theRowIsParsedWithItsVersion)
{
    const auto row
        = parseDutyRow("usage", R"({"rows":[{"table":"yokepond","part":"","key_file":"other","value":"eA==","schema_version":7},
        {"table":"yokepond","part":"","key_file":"usage","value":"bm9kZS0x","schema_version":412}],"schema_version":530,"now_ms":1})");
    CHECK_EQUAL(412U, row->version);
    CHECK_EQUAL(std::string("node-1"), row->value);
}

TEST(DutyClient, anAbsentRowHasVersionZero)
{
    CHECK_EQUAL(0U, parseDutyRow("usage", R"({"rows":[],"schema_version":530})")->version);
}

TEST(DutyClient, aMalformedBodyIsNotParsedAsARow)
{
    for (const char *body :
         {"", "[]", "{}", R"({"rows":7})", R"({"rows":[{"key_file":"usage","schema_version":"x","value":"eA=="}]})",
          R"({"rows":[{"key_file":"usage","schema_version":5}]})"}) {
        CHECK_FALSE(parseDutyRow("usage", body).has_value());
    }
}

// Guards against rows of other writers that kept a duty from its own row, so that no host performed the duty.
TEST(DutyClient, rowsOfOtherWritersDoNotHideTheRow)
{
    constexpr int deep = 100'000;
    const std::string nested = std::string(deep, '[') + std::string(deep, ']');
    for (const std::string &odd :
         {std::string("7"), std::string("null"), std::string("[]"), std::string("{}"), std::string("\"usage\""),
          std::string("nonsense"), std::string(R"({"key_file":7})"), std::string(R"({"key_file":"other","schema_version":"x"})"),
          std::string("{\"key_file\":\"\xff\"}"), std::string(R"({"key_file":"other","value":1e999})"), nested,
          R"({"key_file":"other","value":)" + nested + "}"}) {
        const std::string own = R"({"key_file":"usage","value":"eA==","schema_version":9})";
        for (const std::string &rows : {fmt::format("{},{}", odd, own), fmt::format("{},{}", own, odd)}) {
            const auto row = parseDutyRow("usage", R"({"rows":[)" + rows + R"(],"schema_version":10})");
            CHECK_TRUE(row.has_value());
            CHECK_EQUAL(9U, row->version);
            CHECK_EQUAL(std::string("x"), row->value);
        }
        CHECK_EQUAL(0U, parseDutyRow("usage", R"({"rows":[)" + odd + "]}")->version);
    }
}

TEST(DutyClient, aRemovedRowHasVersionZero)
{
    CHECK_EQUAL(0U, parseDutyRow("usage", R"({"rows":[{"key_file":"usage","deleted":true,"schema_version":9}]})")->version);
    CHECK_EQUAL(0U, parseDutyRow("usage", R"({"rows":[{"key_file":"usage","value":"eA==","schema_version":0}]})")->version);
}

/// The row's holder may be another host, so a row that is there but cannot be read is not an absent one.
TEST(DutyClient, theOwnRowIsNotTakenAsAbsentIfItCannotBeRead)
{
    for (const char *row :
         {R"({"key_file":"usage","schema_version":-1,"value":"eA=="})", R"({"key_file":"usage","schema_version":9,"value":7})",
          R"({"key_file":"usage","schema_version":9,"value":"eA==","deleted":"no"})"}) {
        CHECK_FALSE(parseDutyRow("usage", std::string(R"({"rows":[)") + row + "]}").has_value());
    }
}

TEST(DutyClient, theResponseToAWriteShowsWhetherItWasApplied)
{
    const auto done = parseWriteResponse("usage", responded(200), R"({"schema_version":412,"now_ms":51230})");
    CHECK_TRUE(done.result == WriteResult::Done);
    CHECK_EQUAL(412U, done.version);
    const auto mismatch = parseWriteResponse(
        "usage", responded(412), R"({"rows":[{"key_file":"usage","value":"eA==","schema_version":9}],"schema_version":10})");
    CHECK_TRUE(mismatch.result == WriteResult::VersionMismatch);
    CHECK_EQUAL(9U, mismatch.row->version);
    CHECK_TRUE(parseWriteResponse("usage", responded(503), "").result == WriteResult::NotApplied);
    CHECK_TRUE(parseWriteResponse("usage", responded(429), "").result == WriteResult::NotApplied);
}

/// A write is known not to be applied only if the store reports it or the call was never sent.
TEST(DutyClient, allOtherOutcomesOfAWriteAreUndetermined)
{
    CHECK_TRUE(parseWriteResponse("usage", responded(500), "").result == WriteResult::Undetermined);
    CHECK_TRUE(parseWriteResponse("usage", responded(200), "no JSON").result == WriteResult::Undetermined);
    CHECK_TRUE(parseWriteResponse("usage", responded(200), R"({"schema_version":"x"})").result == WriteResult::Undetermined);
    Http::TransferResult cut;
    cut.stage = TransferStage::Sent;
    CHECK_TRUE(parseWriteResponse("usage", cut, "").result == WriteResult::Undetermined);
    cut.stage = TransferStage::ResponseStarted;
    cut.status = 503;
    CHECK_TRUE(parseWriteResponse("usage", cut, "").result == WriteResult::Undetermined);
    cut.stage = TransferStage::NotSent;
    CHECK_TRUE(parseWriteResponse("usage", cut, "").result == WriteResult::NotApplied);
}
