// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Invariants that are checked in every build. A violation is logged and counted, and aborts the process in test runs.

#pragma once

#include "Base/names.h"

#include <cstdint>

namespace Yokepond::Base {

enum class Invariant {
    HigherTierKept, ///< no ask is shed while one of a lower tier is queued
    PermitsWithinGrants, ///< an endpoint's count of runs equals the permits held for it
    AnsweredOnce, ///< an ask gets one grant or refusal, a caller one response
    NoWorkWhenLeaving, ///< a drained endpoint or leaving host gets no new work
    RevisionGrows, ///< the configuration's revision never decreases
    RunOnce, ///< a request that is not repeatable is started at most once
    NotRunIsTrue, ///< a request whose outcome is `not-run` was never started
};

/// Logs and counts a violation of @p invariant if @p holds is false.
void checkInvariant(bool holds, Invariant invariant);

/// Returns the number of violations since the process started.
std::uint64_t invariantViolations();

/// Makes every later violation abort the process. Used in test runs.
void makeViolationsFatal();

} // namespace Yokepond::Base
