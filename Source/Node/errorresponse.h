// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Error answers in the shape that OpenAI-style clients expect.

#pragma once

#include "Base/error.h"
#include "Http/message.h"
#include "Request/types.h"

#include <string>

namespace Yokepond::Node {

/// `{"error":{"type","code","message","outcome"}}`.
std::string errorBody(const absl::Status &error, Request::Outcome outcome);

/// The status where it alone tells the outcome: 4xx for a request that is wrong in itself, 503 for one that has not run, and
/// 502 or 504 for one that may have.
int statusByOutcome(const absl::Status &error, Request::Outcome outcome);

/// The whole answer; @p requestName may be empty, and @p retryAfter of zero adds no header.
Http::Response errorResponse(const absl::Status &error, Request::Outcome outcome, const std::string &requestName,
                             Base::Duration retryAfter);

} // namespace Yokepond::Node
