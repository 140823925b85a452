// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Language/statement.h"

#include "Base/error.h"
#include "Base/text.h"

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::Language;

TEST_GROUP(Statement) {};

TEST(Statement, showWithConditionsOrderAndLimit)
{
    const auto query = parseQuery("show requests where class = bulletin and age-ms > 5 order by age-ms desc limit 3");
    CHECK_TRUE(query.ok());
    const Show &show = std::get<Show>(*query);
    CHECK_TRUE(show.subject == Subject::Requests);
    CHECK_EQUAL(2U, show.conditions.size());
    CHECK_TRUE(show.conditions[1].comparison == Comparison::Greater);
    CHECK_TRUE(show.ordering->descending);
    CHECK_EQUAL(3U, *show.limit);
}

TEST(Statement, createStoresFieldsInCanonicalForm)
{
    const auto command = parseCommand("create class gauge tier routine pool main first-token 5s");
    CHECK_TRUE(command.ok());
    const Create &create = std::get<Create>(*command);
    STRCMP_EQUAL("5000", create.fields[2].value.c_str());
}

TEST(Statement, errorNamesColumnAndNearestWord)
{
    const auto query = parseQuery("show requsts");
    CHECK_TRUE(Base::errorKind(query.status()) == Base::ErrorKind::Syntax);
    STRCMP_CONTAINS("column 6", Base::messageOf(query.status()).c_str());
    STRCMP_CONTAINS("did you mean 'requests'?", Base::messageOf(query.status()).c_str());
}

TEST(Statement, invalidValueIsReportedWithColumn)
{
    const auto command = parseCommand("create tier a rank 0");
    CHECK_TRUE(Base::errorKind(command.status()) == Base::ErrorKind::InvalidValue);
    STRCMP_CONTAINS("column 20", Base::messageOf(command.status()).c_str());
}

TEST(Statement, repeatedFieldIsRejected)
{
    CHECK_FALSE(parseCommand("set tier a rank 1 rank 2").ok());
}

TEST(Statement, trailingTextIsRejected)
{
    CHECK_FALSE(parseCommand("delete tier a b").ok());
}

TEST(Statement, unterminatedQuoteIsRejected)
{
    STRCMP_CONTAINS("closing quotation mark", Base::messageOf(parseQuery("why request \"a").status()).c_str());
}

TEST(Statement, errorInCommandListNamesLineAndColumn)
{
    const auto commands = parseCommands("# a comment\ncreate tier a rank 1; create tier b rank 2\n\ncreate teir c rank 3\n");
    STRCMP_CONTAINS("line 4, column 8", Base::messageOf(commands.status()).c_str());
}

TEST(Statement, evacuateAndResumeNameADataCentre)
{
    const auto evacuate = parseCommand("evacuate data-centre east");
    STRCMP_EQUAL("east", std::get<Evacuate>(*evacuate).dataCentre.c_str());
    CHECK_TRUE(std::get<Evacuate>(*evacuate).evacuated);
    CHECK_FALSE(std::get<Evacuate>(*parseCommand("resume data-centre east")).evacuated);
    CHECK_FALSE(std::get<Drain>(*parseCommand("resume endpoint e1")).drained);
    CHECK_TRUE(Base::errorKind(parseCommand("evacuate endpoint e1").status()) == Base::ErrorKind::Syntax);
}
