// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Node/errorresponse.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace Yokepond;
using Base::ErrorKind;
using Request::Outcome;

TEST_GROUP(ErrorResponse) {};

TEST(ErrorResponse, theStatusShowsTheOutcome)
{
    const auto status
        = [](ErrorKind kind, Outcome outcome) { return Node::statusByOutcome(Base::makeError(kind, "why"), outcome); };
    CHECK_EQUAL(404, status(ErrorKind::NotFound, Outcome::NotRun));
    CHECK_EQUAL(503, status(ErrorKind::Overloaded, Outcome::NotRun));
    CHECK_EQUAL(502, status(ErrorKind::EndpointFailed, Outcome::Unknown));
    CHECK_EQUAL(504, status(ErrorKind::DeadlineExceeded, Outcome::Unknown));
}

/// A quarantined request is not reported as an error of the client, since the assumption that it crashes endpoints may be wrong.
/// The status shows whether it has not run or may have run, and there is no Retry-After header.
TEST(ErrorResponse, quarantinedWorkIsNoClientErrorAndHasNoRetryAfter)
{
    const absl::Status quarantined = Base::makeError(ErrorKind::CrashesEndpoints, "why");
    CHECK_EQUAL(503, Node::statusByOutcome(quarantined, Outcome::NotRun));
    CHECK_EQUAL(502, Node::statusByOutcome(quarantined, Outcome::Unknown));
    const Http::Response response = Node::errorResponse(quarantined, Outcome::NotRun, "r1", {});
    CHECK_EQUAL(422, response.status);
    CHECK_TRUE(std::ranges::find(response.headers, "retry-after", &Http::Header::name) == response.headers.end());
}
