// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Platform/etcdtable.h"

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::Platform;

TEST_GROUP(EtcdTable) {};

TEST(EtcdTable, theRowsOfAResponseAreDecoded)
{
    const auto rows = parseRangeResponse(R"({"kvs":[{"key":"YQ==","value":"Yg=="},{"key":"Yw=="},{"key":"ZA==","value":""}]})");
    CHECK_TRUE(rows.ok());
    CHECK_TRUE(*rows == (std::vector<Row> {{"a", "b"}, {"c", ""}, {"d", ""}}));
    CHECK_TRUE(parseRangeResponse("{}")->empty());
    CHECK_TRUE(parseRangeResponse(R"({"kvs":null})")->empty());
}

// Guards against rows of unexpected types, which ended the process by an exception that nobody caught.
TEST(EtcdTable, aReadWithARowThatCannotBeReadFails)
{
    for (const char *body : {"", "[]", "7", "null", R"({"kvs":7})", R"({"kvs":"x"})", R"({"kvs":{}})", R"({"kvs":[7]})",
                             R"({"kvs":[null]})", R"({"kvs":[["YQ=="]]})", R"({"kvs":[{"key":7,"value":"Yg=="}]})",
                             R"({"kvs":[{"key":"YQ==","value":null}]})", R"({"kvs":[{"key":"YQ==","value":["Yg=="]}]})",
                             R"({"kvs":[{"key":"YQ==","value":"Yg=="},{"key":"?","value":"Yg=="}]})"}) {
        CHECK_TRUE(Base::errorKind(parseRangeResponse(body).status()) == Base::ErrorKind::InvalidValue);
    }
}

TEST(EtcdTable, theResponseToATransactionTellsWhetherItWasExecuted)
{
    CHECK_TRUE(parseTransactionResponse(R"({"succeeded":true})") == TransactionResult::Done);
    CHECK_TRUE(parseTransactionResponse(R"({"succeeded":false})") == TransactionResult::GuardFailed);
    CHECK_TRUE(parseTransactionResponse("{}") == TransactionResult::GuardFailed);
}

// Guards against an outcome of an unexpected type, which ended the process by an exception that nobody caught.
TEST(EtcdTable, aTransactionWhoseOutcomeCannotBeToldIsUndetermined)
{
    for (const char *body : {"", "[]", "null", R"({"succeeded":"true"})", R"({"succeeded":1})", R"({"succeeded":null})"}) {
        CHECK_TRUE(parseTransactionResponse(body) == TransactionResult::Undetermined);
    }
}
