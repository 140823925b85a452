// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Request/operations.h"

#include "Dispatch/fixtures.h"

#include <CppUTest/TestHarness.h>

using namespace Yokepond;
using namespace Yokepond::Request;
using Tests::at;

TEST_GROUP(Operations)
{
    Operations operations {{.responseBytes = 10, .kept = std::chrono::seconds(100), .mostKnown = 3}};

    OperationState begin(const std::string &key, std::uint64_t request, const std::string &body = "b",
                         std::uint32_t organisation = 1)
    {
        return operations.begin(at(0), organisation, key, body, request);
    }
};

TEST(Operations, secondRequestWithTheKeyIsNotNew)
{
    CHECK_TRUE(begin("k", 1) == OperationState::New);
    CHECK_TRUE(begin("k", 2) == OperationState::Running);
    CHECK_TRUE(begin("k", 3, "other") == OperationState::OtherBody);
    CHECK_TRUE(begin("k", 4, "b", 2) == OperationState::New);
}

TEST(Operations, answerIsHeldAndWaitersAreNamed)
{
    begin("k", 1);
    operations.wait(1, "k", 2);
    operations.wait(1, "k", 3);
    operations.stopWaiting(3);
    const auto waiting = operations.end(at(1), 1, Outcome::Completed, Http::Response {200, {}, "answer"});
    CHECK_EQUAL(1U, waiting.size());
    CHECK_TRUE(begin("k", 4) == OperationState::ResponseStored);
    STRCMP_EQUAL("answer", operations.storedResponse(1, "k").body.c_str());
}

TEST(Operations, notRunIsForgottenAndUnknownIsNot)
{
    begin("k", 1);
    operations.end(at(1), 1, Outcome::NotRun, std::nullopt);
    CHECK_TRUE(begin("k", 2) == OperationState::New);
    operations.end(at(1), 2, Outcome::Unknown, std::nullopt);
    CHECK_TRUE(begin("k", 3) == OperationState::Unknown);
}

TEST(Operations, heldBytesAreBoundedAndTheOperationStaysKnown)
{
    begin("a", 1);
    operations.end(at(1), 1, Outcome::Completed, Http::Response {200, {}, "12345678"});
    begin("b", 2);
    operations.end(at(1), 2, Outcome::Completed, Http::Response {200, {}, "12345678"});
    CHECK_TRUE(operations.responseBytes() <= 10);
    CHECK_TRUE(begin("a", 3) == OperationState::ResponseDropped);
    CHECK_TRUE(begin("b", 3) == OperationState::ResponseStored);
}

TEST(Operations, refusesMoreThanItCanRemember)
{
    begin("a", 1);
    begin("b", 2);
    begin("c", 3);
    CHECK_TRUE(begin("d", 4) == OperationState::Full);
}
