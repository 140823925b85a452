// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Error responses in the format that OpenAI-compatible clients expect.

#pragma once

#include "Base/error.h"
#include "Http/message.h"
#include "Request/types.h"

#include <string>

namespace Yokepond::Node {

/// Returns the error for a request that a host refuses because it stops.
absl::Status stoppingError();

/// Returns the body of an error response: `{"error":{"type","code","message","outcome"}}`.
std::string errorBody(const absl::Status &error, Request::Outcome outcome);

/// Returns the HTTP status for protocols in which only the status shows the outcome: 4xx for an invalid request, 503 for a
/// request that has not run, and 502 or 504 for one that may have run.
int statusByOutcome(const absl::Status &error, Request::Outcome outcome);

/// Returns the complete error response. @p requestName may be empty; a @p retryAfter of zero adds no header.
Http::Response errorResponse(const absl::Status &error, Request::Outcome outcome, const std::string &requestName,
                             Base::Duration retryAfter);

} // namespace Yokepond::Node
