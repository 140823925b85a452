// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Invariants checked in every build: a violated one is logged and counted, and ends the process in test runs.

#pragma once

#include "Base/names.h"

#include <cstdint>

namespace Yokepond::Base {

enum class Invariant {
    HigherTierKept, ///< no ask is shed while one of a lower tier is queued
    PermitsWithinGrants, ///< an endpoint's count of runs equals the permits held for it
    AnsweredOnce, ///< an ask gets one grant or refusal, a caller one answer
    NoWorkWhenLeaving, ///< a drained endpoint or leaving host gets no new work
    RevisionGrows, ///< the configuration never goes back
    RunOnce, ///< an unrepeatable request is started at most once
    NotRunIsTrue, ///< a request answered `not-run` was never started
};

/// Logs and counts a violation of @p invariant unless @p holds.
void checkInvariant(bool holds, Invariant invariant);

/// Violations since the process started.
std::uint64_t invariantViolations();

/// Makes every later violation abort the process; for test runs.
void makeViolationsFatal();

} // namespace Yokepond::Base
