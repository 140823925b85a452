// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Configuration/siterecords.h"

#include <CppUTest/TestHarness.h>

using namespace Yokepond::Configuration;

TEST_GROUP(SiteRecords)
{
    SiteRecords records;

    bool set(const std::string &key, std::uint64_t version, const std::string &value)
    {
        return records.merge({RecordKind::Endpoint, key, version, false, value});
    }

    bool remove(const std::string &key, std::uint64_t version)
    {
        return records.merge({RecordKind::Endpoint, key, version, true, ""});
    }
};

TEST(SiteRecords, theHigherVersionCountsInWhateverOrderTheyCome)
{
    CHECK_TRUE(set("e1", 5, "new"));
    CHECK_FALSE(set("e1", 3, "old"));
    CHECK_FALSE(remove("e1", 4));
    CHECK_EQUAL(1U, records.present(RecordKind::Endpoint).size());
    STRCMP_EQUAL("new", records.present(RecordKind::Endpoint).front()->value.c_str());
}

TEST(SiteRecords, aRemovedRecordDoesNotComeBackFromAPeerThatIsBehind)
{
    set("e1", 5, "value");
    CHECK_TRUE(remove("e1", 7));
    CHECK_FALSE(set("e1", 6, "value"));
    CHECK_TRUE(records.present(RecordKind::Endpoint).empty());
    CHECK_TRUE(set("e1", 9, "value"));
}

TEST(SiteRecords, aVersionAloneIsNoChange)
{
    set("e1", 5, "value");
    CHECK_FALSE(set("e1", 8, "value"));
    CHECK_EQUAL(5U, records.revision());
}

TEST(SiteRecords, copiesThatWereMergedHaveEqualRevisions)
{
    set("e1", 5, "value");
    SiteRecords later;
    later.merge({RecordKind::Endpoint, "e1", 8, false, "value"});
    CHECK_FALSE(records.merge(later));
    CHECK_EQUAL(later.revision(), records.revision());
}

TEST(SiteRecords, textCarriesAllOfThem)
{
    set("e1", 5, "value");
    remove("e2", 6);
    const auto read = recordsFromText(recordsToText(records));
    CHECK_TRUE(read.ok());
    CHECK_TRUE(read->all() == records.all());
    CHECK_EQUAL(records.revision(), read->revision());
}

TEST(SiteRecords, malformedTextIsAnError)
{
    for (const char *text : {"", "[]", "{}", R"({"revision":1,"records":[{}]})", R"({"revision":"1","records":[]})"}) {
        CHECK_FALSE(recordsFromText(text).ok());
    }
}
