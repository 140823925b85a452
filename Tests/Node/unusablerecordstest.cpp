// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Node/unusablerecords.h"

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using Configuration::RecordFault;
using Configuration::RecordKind;
using Node::UnusableRecords;

TEST_GROUP(UnusableRecords)
{
    UnusableRecords records;
};

TEST(UnusableRecords, rowsAreCountedByKindAndFault)
{
    records.countRow(RecordKind::Endpoint, RecordFault::Value);
    records.countRow(RecordKind::Endpoint, RecordFault::Value);
    records.skipRow(Base::now(), RecordKind::Configuration, RecordFault::Key);
    CHECK_EQUAL(2U, records.rows().at({RecordKind::Endpoint, RecordFault::Value}));
    CHECK_EQUAL(1U, records.rows().at({RecordKind::Configuration, RecordFault::Key}));
}

TEST(UnusableRecords, theRecordsThatCannotBeUsedNowAreCounted)
{
    records.update(RecordKind::Endpoint, {{"e1", "reason"}, {"e2", "reason"}}, 1);
    records.update(RecordKind::Evacuation, {{"east", "reason"}}, 2);
    CHECK_EQUAL(2U, records.count(RecordKind::Endpoint));
    records.update(RecordKind::Endpoint, {{"e2", "reason"}}, 3);
    CHECK_EQUAL(1U, records.count(RecordKind::Endpoint));
    CHECK_EQUAL(1U, records.count(RecordKind::Evacuation));
    CHECK_EQUAL(0U, records.count(RecordKind::Configuration));
}
