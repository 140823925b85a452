// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Configuration/changestext.h"

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::Configuration;

TEST_GROUP(ChangesText)
{
    SiteRecords records;
    const Base::Instant now = Base::now();

    void set(const std::string &key, std::uint64_t version, const std::string &value)
    {
        records.merge({RecordKind::Endpoint, key, version, false, value});
    }

    void remove(const std::string &key, std::uint64_t version)
    {
        records.merge({RecordKind::Endpoint, key, version, true, ""});
    }
};

TEST(ChangesText, theTextContainsAllChanges)
{
    set("e1", 5, "value");
    remove("e1", 6);
    set("e2", 7, "value");
    const auto read = changesFromText(changesToText(records.changesSince({}), now), now);
    CHECK_TRUE(read.ok());
    CHECK_TRUE(read->records == records.all());
    CHECK_TRUE(read->endpoints.revision == records.revisions().endpoints);
    CHECK_TRUE(read->sender.hashes == records.hashes());
    CHECK_TRUE(read->sender.revisions == records.revisions());
}

TEST(ChangesText, theTextTellsWhatTheRecordsAre)
{
    records.beginList(RecordKind::Endpoint);
    set("e1", 5, "value");
    const auto news = changesFromText(changesToText(records.changesSince({}, RecordKind::Endpoint), now), now);
    CHECK_TRUE(news->endpoints.scope == ChangesScope::News);
    CHECK_TRUE(news->configuration.scope == ChangesScope::None);
    records.endList(RecordKind::Endpoint, 9);
    const auto list = changesFromText(changesToText(records.changesSince({}, RecordKind::Endpoint), now), now);
    CHECK_TRUE(list->endpoints.scope == ChangesScope::List);
    CHECK_EQUAL(9U, list->endpoints.removalsFrom);
    const auto changes = changesFromText(changesToText(records.changesSince({}, RecordKind::Configuration), now), now);
    CHECK_TRUE(changes->configuration.scope == ChangesScope::Changes);
    CHECK_TRUE(changes->endpoints.scope == ChangesScope::None);
}

TEST(ChangesText, aHostOfAnEarlierVersionTellsNoScope)
{
    const auto read = [this](const char *since, const char *revisions) {
        const std::string text = std::string(R"({"records":[],"since":)") + since + R"(,"revisions":)" + revisions + "}";
        return *changesFromText(text, now);
    };
    const RecordChanges all = read(R"({"configuration":0,"endpoints":0})", R"({"configuration":0,"endpoints":7})");
    CHECK_TRUE(all.endpoints.scope == ChangesScope::List);
    CHECK_EQUAL(7U, all.endpoints.removalsFrom);
    CHECK_TRUE(all.configuration.scope == ChangesScope::None);
    const RecordChanges some = read(R"({"configuration":0,"endpoints":5})", R"({"configuration":0,"endpoints":7})");
    CHECK_TRUE(some.endpoints.scope == ChangesScope::Changes);
    const RecordChanges configuration = read(R"({"configuration":3,"endpoints":0})", R"({"configuration":4,"endpoints":0})");
    CHECK_TRUE(configuration.configuration.scope == ChangesScope::Changes);
    CHECK_TRUE(configuration.endpoints.scope == ChangesScope::None);
}

TEST(ChangesText, malformedTextIsAnError)
{
    for (const char *text :
         {"", "[]", "{}", R"({"since":{},"revisions":{},"records":[]})",
          R"({"since":{"configuration":0,"endpoints":0},"revisions":{"configuration":1,"endpoints":1},"records":[{}]})",
          R"({"since":{"configuration":0,"endpoints":"0"},"revisions":{"configuration":1,"endpoints":1},"records":[]})"}) {
        CHECK_FALSE(changesFromText(text, now).ok());
    }
}

TEST(ChangesText, theTextTellsWhyARecordIsUnusable)
{
    records.merge({RecordKind::Endpoint, "e1", 6, false, "", {}, RecordFault::Removal});
    const std::string text = changesToText(records.changesSince({}), now);
    CHECK_TRUE(changesFromText(text, now)->records == records.all());
    std::string unknown = text;
    unknown.replace(unknown.find("removal-unreadable"), std::string("removal-unreadable").size(), "of-a-newer-host");
    CHECK_TRUE(changesFromText(unknown, now)->records.front().fault == RecordFault::Value);
}

// Guards against a remaining time that starts anew at each host that hears of it.
TEST(ChangesText, aColdPeriodIsSentAsItsRemainingTime)
{
    records.merge({RecordKind::Endpoint, "e1", 5, false, "value", now + std::chrono::seconds(3)});
    const Base::Instant sent = now + std::chrono::seconds(2);
    const auto changes = changesFromText(changesToText(records.changesSince({}), sent), sent);
    CHECK_TRUE(changes->records.front().coldUntil == now + std::chrono::seconds(3));
    const auto later = changesFromText(changesToText(records.changesSince({}), now + std::chrono::seconds(4)), now);
    CHECK_TRUE(later->records.front().coldUntil == Base::Instant {});
}
