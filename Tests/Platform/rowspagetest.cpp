// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "platform/rowspage.h"

#include "Base/error.h"
#include "Base/text.h"

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

using namespace Yokepond;
using Configuration::Record;
using Configuration::RecordFault;
using Configuration::RecordKind;
using Platform::parseRowsPage;
using Platform::RowsPage;

namespace {

constexpr std::uint64_t newest = 50;
constexpr RecordKind endpoints = RecordKind::Endpoint;
constexpr RecordKind operators = RecordKind::Configuration;

std::string inQuotes(std::string_view text)
{
    return fmt::format(R"("{}")", text);
}

std::string base64(std::string_view bytes)
{
    return inQuotes(Base::encodeBase64(bytes));
}

std::string row(const std::string &key, const std::string &value, const std::string &version = "7", const std::string &more = "")
{
    return fmt::format(R"({{"table":"servers","part":"","key_file":{},"value":{},"schema_version":{}{}}})", key, value, version,
                       more);
}

std::string page(const std::string &rows, const std::string &more = "")
{
    return fmt::format(R"({{"rows":[{}],"schema_version":{},"now_ms":1{}}})", rows, newest, more);
}

const std::string goodValue = base64(R"({"state":"ready","sequence":9})");

} // namespace

TEST_GROUP(RowsPage)
{
    const Base::Instant now = Base::now();

    RowsPage parse(RecordKind kind, const std::string &rows) const
    {
        auto parsed = parseRowsPage(kind, page(rows), now);
        CHECK_TRUE(parsed.ok());
        return *std::move(parsed);
    }

    /// Parses @p odd between two good rows, which must be there whatever it is. Returns the page without them.
    Platform::FeedPage between(const std::string &odd) const
    {
        const std::string first = row(inQuotes("a"), goodValue, "5");
        const std::string last = row(inQuotes("z"), goodValue, "8");
        Platform::FeedPage found = parse(endpoints, fmt::format("{},{},{}", first, odd, last)).page;
        CHECK_EQUAL(newest, found.version);
        CHECK_TRUE(found.records.size() >= 2);
        CHECK_TRUE(found.records.front() == (Record {endpoints, "a", 5, false, R"({"state":"ready"})"}));
        CHECK_TRUE(found.records.back() == (Record {endpoints, "z", 8, false, R"({"state":"ready"})"}));
        found.records.erase(found.records.begin());
        found.records.pop_back();
        // The detail is for logs only.
        std::ranges::for_each(found.records, [](Record &record) {
            CHECK_EQUAL(record.fault == RecordFault::Value, !record.detail.empty());
            record.detail.clear();
        });
        return found;
    }

    Record unusable(const std::string &odd) const
    {
        const Platform::FeedPage found = between(odd);
        CHECK_TRUE_TEXT(found.records.size() == 1 && found.skipped.empty(), odd.c_str());
        return found.records.front();
    }

    RecordFault skipped(const std::string &odd) const
    {
        const Platform::FeedPage found = between(odd);
        CHECK_TRUE_TEXT(found.records.empty() && found.skipped.size() == 1, odd.c_str());
        return found.skipped.front();
    }
};

TEST(RowsPage, goodRowsAreRecords)
{
    const RowsPage found = parse(endpoints,
                                 row(inQuotes("a"), base64(R"({"b":1,"a":"x","sequence":4,"cold_remaining_ms":500})"), "5") + ','
                                     + R"({"key_file":"b","deleted":true,"schema_version":6})");
    CHECK_EQUAL(2U, found.page.records.size());
    CHECK_TRUE(found.page.records[0]
               == (Record {endpoints, "a", 5, false, R"({"a":"x","b":1})", now + std::chrono::milliseconds(500)}));
    CHECK_TRUE(found.page.records[1] == (Record {endpoints, "b", 6, true, ""}));
    CHECK_EQUAL(newest, found.page.version);
    CHECK_FALSE(found.hasMore);
    CHECK_EQUAL(std::string("b"), found.lastKey);
}

// Guards against a row of another writer that makes its whole page unreadable, so that no host follows the list any more.
TEST(RowsPage, aValueThatCannotBeReadMakesOnlyItsRecordUnusable)
{
    for (const std::string &value :
         {std::string("7"), std::string("[1,2]"), std::string("null"), std::string("{}"), std::string("true"),
          std::string("1e999"), inQuotes("%%%"), inQuotes(""), inQuotes("\xff"), base64("[1]"), base64("7"), base64("not JSON"),
          base64(std::string(3, '\0')), base64("{\"a\":\"\xff\"}"), base64(R"({"a":1e999})"), base64(R"({"a":1)")}) {
        CHECK_TRUE_TEXT(unusable(row(inQuotes("i"), value)) == (Record {endpoints, "i", 7, false, "", {}, RecordFault::Value}),
                        value.c_str());
    }
    CHECK_TRUE(unusable(R"({"key_file":"i","schema_version":7})").fault == RecordFault::Value);
}

TEST(RowsPage, aRowWithoutReadableKeyIsSkipped)
{
    for (const std::string &key : {std::string("5"), std::string("null"), std::string("[]"), std::string("1e999"), inQuotes(""),
                                   inQuotes("\xff\xfe"), inQuotes("\\u12"), inQuotes("\\ud800")}) {
        CHECK_TRUE_TEXT(skipped(row(key, goodValue)) == RecordFault::Key, key.c_str());
    }
    CHECK_TRUE(skipped(R"({"schema_version":7})") == RecordFault::Key);
    for (const char *odd : {"7", "null", "[1,2]", R"("text")", "{7}", R"({"a":1}{"b":2})", ""}) {
        CHECK_TRUE_TEXT(skipped(odd) == RecordFault::Row, odd);
    }
}

/// The version of the page is not older than the row's, and all later states of the row are newer.
TEST(RowsPage, aRowWithoutReadableVersionIsUnusableAsOfTheVersionOfThePage)
{
    for (const char *version : {R"("x")", R"("7")", "-1", "1.5", "7.0", "1e300", "1e999", "0", "null", "18446744073709551615",
                                "18446744073709551616", "9223372036854775808"}) {
        CHECK_TRUE_TEXT(unusable(row(inQuotes("i"), goodValue, version))
                            == (Record {endpoints, "i", newest, false, "", {}, RecordFault::Version}),
                        version);
    }
}

TEST(RowsPage, aRowWhoseMarkOfRemovalCannotBeReadIsUnusable)
{
    for (const char *mark : {R"("yes")", R"("true")", "1", "null", "{}", "1e999"}) {
        const Record found = unusable(row(inQuotes("i"), goodValue, "7", fmt::format(R"(,"deleted":{})", mark)));
        CHECK_TRUE_TEXT(found == (Record {endpoints, "i", 7, false, "", {}, RecordFault::Removal}), mark);
    }
}

TEST(RowsPage, fieldsThatNobodyReadsDoNotMatter)
{
    const std::string deep = std::string(200'000, '[') + std::string(200'000, ']');
    for (const std::string &odd : {std::string("1e999"), inQuotes("\xff"), std::string("nonsense"), deep}) {
        const Record found = unusable(row(inQuotes("i"), goodValue, "7", R"(,"x":)" + odd));
        CHECK_TRUE(found == (Record {endpoints, "i", 7, false, R"({"state":"ready"})"}));
    }
}

// Guards against heartbeats of an entry that cannot be read, each of which counted as a change.
TEST(RowsPage, heartbeatsOfAnUnreadableValueDoNotChangeItsRecord)
{
    const auto beat = [this](int sequence) {
        return unusable(row(inQuotes("i"), base64(fmt::format(R"({{"x":1e999,"sequence":{}}})", sequence))));
    };
    CHECK_TRUE(beat(1) == beat(2));
}

TEST(RowsPage, keysAreTakenAsTheyAre)
{
    CHECK_EQUAL(std::string("a b&c#\n%41/\xc3\xa9"), unusable(row(R"("a b&c#\n%41\/\u00e9")", goodValue)).key);
    CHECK_EQUAL(std::string("/rows-get?table=servers&part=&source=a%20b%26c%23%0A%2541%2F%C3%A9%00"),
                Platform::rowsPathFrom(endpoints, std::string_view("a b&c#\n%41/\xc3\xa9\0", 14)));
    CHECK_EQUAL(std::string("/rows-get?table=op&part="), Platform::rowsPathFrom(operators, ""));
    CHECK_EQUAL(std::string("/rows-feed?table=op&part=&since_revision=9&wait_ms=1500"),
                Platform::feedPathSince(operators, 9, std::chrono::milliseconds(1500)));
}

// Guards against pages of which the next begins at a key that is not in the table: records of evacuations have the data centre as
// their key.
TEST(RowsPage, theLastKeyIsThatOfTheLastRow)
{
    CHECK_EQUAL(std::string("evacuate/a"), parse(operators, row(inQuotes("evacuate/a"), inQuotes(""))).lastKey);
    const RowsPage other = parse(operators, row(inQuotes("other"), inQuotes("")));
    CHECK_TRUE(other.page.records.empty() && other.lastKey == "other");
    CHECK_EQUAL(std::string("a"), parse(endpoints, row(inQuotes("a"), "7") + ',' + row("7", "7")).lastKey);
}

TEST(RowsPage, aConfigurationMustHaveThePlatformsFormat)
{
    const std::string good = R"({"services":[],"routes":[]})";
    CHECK_EQUAL(good, parse(operators, row(inQuotes("config"), base64(good))).page.records.front().value);
    for (const std::string &value :
         {std::string("7"), inQuotes("%"), inQuotes(""), base64("x"), base64("{}"), base64(R"({"routes":[]})"),
          base64(R"({"services":[],"routes":[{"name":"r"}]})"), base64(R"({"services":[],"routes":7})")}) {
        Record found = parse(operators, row(inQuotes("config"), value)).page.records.front();
        CHECK_FALSE(found.detail.empty());
        found.detail.clear();
        CHECK_TRUE_TEXT(found == (Record {operators, "config", 7, false, "", {}, RecordFault::Value}), value.c_str());
    }
}

TEST(RowsPage, anEvacuationMayHaveAnyValue)
{
    for (const std::string &value : {inQuotes(""), base64("x"), base64("{}")}) {
        const Record found = parse(operators, row(inQuotes("evacuate/a"), value)).page.records.front();
        CHECK_TRUE(found.kind == RecordKind::Evacuation && found.key == "a" && found.fault == RecordFault::None);
    }
    const Record odd = parse(operators, row(inQuotes("evacuate/a"), "7")).page.records.front();
    CHECK_TRUE(odd.fault == RecordFault::Value && !odd.removed);
}

TEST(RowsPage, anAnswerWithoutVersionOrRowsIsAnError)
{
    for (const char *body :
         {"", "[]", "{}", "null", R"({"rows":[]})", R"({"rows":[],"schema_version":"x"})", R"({"rows":[],"schema_version":-1})",
          R"({"rows":[],"schema_version":1e999})", R"({"rows":[],"schema_version":1.5})",
          R"({"rows":[],"schema_version":18446744073709551616})", R"({"rows":7,"schema_version":1})",
          R"({"rows":[],"schema_version":1,"has_more":"yes"})", R"({"rows":[],"schema_version":1,"has_more":null})",
          R"({"rows":[],"schema_version":1,"x":1e999})", R"({"rows":[],"schema_version":1,"x":nonsense})",
          R"({"rows":[{"key_file":"a"},"schema_version":1})", R"({"rows":[],"schema_version":1)"}) {
        const auto parsed = parseRowsPage(endpoints, body, now);
        CHECK_TRUE_TEXT(!parsed.ok() && Base::errorKind(parsed.status()) == Base::ErrorKind::InvalidValue, body);
    }
    CHECK_TRUE(parseRowsPage(endpoints, R"({"schema_version":0})", now)->page.records.empty());
    CHECK_TRUE(parseRowsPage(endpoints, page("", R"(,"has_more":true)"), now)->hasMore);
}
