// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Node/errorresponse.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace Yokepond;
using Base::ErrorKind;
using Request::Outcome;

TEST_GROUP(Answers) {};

TEST(Answers, theStatusTellsTheOutcomeWhereItMust)
{
    const auto status
        = [](ErrorKind kind, Outcome outcome) { return Node::statusByOutcome(Base::makeError(kind, "why"), outcome); };
    CHECK_EQUAL(404, status(ErrorKind::NotFound, Outcome::NotRun));
    CHECK_EQUAL(503, status(ErrorKind::Overloaded, Outcome::NotRun));
    CHECK_EQUAL(502, status(ErrorKind::EndpointFailed, Outcome::Unknown));
    CHECK_EQUAL(504, status(ErrorKind::DeadlineExceeded, Outcome::Unknown));
}

/// A proper request that endpoints ended under is not told to be wrong: whoever holds it may be mistaken. It has not run, or may
/// have; no time to come back is named.
TEST(Answers, workThatIsHeldIsToldTrulyAndInvitesNoReturn)
{
    const absl::Status held = Base::makeError(ErrorKind::CrashesEndpoints, "why");
    CHECK_EQUAL(503, Node::statusByOutcome(held, Outcome::NotRun));
    CHECK_EQUAL(502, Node::statusByOutcome(held, Outcome::Unknown));
    const Http::Response response = Node::errorResponse(held, Outcome::NotRun, "r1", {});
    CHECK_EQUAL(422, response.status);
    CHECK_TRUE(std::ranges::find(response.headers, "retry-after", &Http::Header::name) == response.headers.end());
}
