// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Base/invariant.h"

#include "Base/crashreport.h"
#include "Base/log.h"

#include <fmt/format.h>

#include <atomic>

namespace Yokepond::Base {

namespace {

constexpr NameTable<Invariant, 7> invariantNames = {{
    {Invariant::HigherTierKept, "higher-tier-kept"},
    {Invariant::PermitsWithinGrants, "permits-within-grants"},
    {Invariant::AnsweredOnce, "answered-once"},
    {Invariant::NoWorkWhenLeaving, "leaving-gets-nothing"},
    {Invariant::RevisionGrows, "revision-grows"},
    {Invariant::RunOnce, "run-once"},
    {Invariant::NotRunIsTrue, "not-run-is-true"},
}};

std::atomic<std::uint64_t> violations = 0;
std::atomic<bool> fatal = false;

} // namespace

void checkInvariant(bool holds, Invariant invariant)
{
    if (holds) {
        return;
    }
    ++violations;
    log(LogLevel::Error, LogEvent::InvariantViolated, {{"invariant", nameOf(invariantNames, invariant)}});
    if (fatal) {
        abortBecause(fmt::format("invariant {}", nameOf(invariantNames, invariant)));
    }
}

std::uint64_t invariantViolations()
{
    return violations;
}

void makeViolationsFatal()
{
    fatal = true;
}

} // namespace Yokepond::Base
