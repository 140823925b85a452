// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Whether an endpoint is fast, slow or dead, by what the homes of its runs saw.

#pragma once

#include "Base/names.h"
#include "Base/time.h"
#include "Dispatch/window.h"

#include <cstdint>
#include <optional>

namespace Yokepond::Dispatch {

enum class HealthState { Healthy, Ejected, Probing };

inline constexpr Base::NameTable<HealthState, 3> healthStateNames = {{
    {HealthState::Healthy, "healthy"},
    {HealthState::Ejected, "ejected"},
    {HealthState::Probing, "probing"},
}};

/// Health of one endpoint. Ejected ones get no work for a time that doubles, then one run at a time until some succeed.
class Health
{
public:
    /// Takes in a finished run. Errors that the endpoint answered count for less than runs that broke off: some applications
    /// answer them to a share of their requests for reasons of the request.
    void observe(const Observation &observation);

    /// Takes in a run that has waited @p waited for its first token without getting it.
    void observeWaiting(Base::Duration waited);

    /// Moves on with time: an ejection that is over becomes probing.
    void tick(Base::Instant now);

    /// Ejects for a time that doubles from ejection to ejection, up to @p longest.
    void eject(Base::Instant now, Base::Duration longest);

    HealthState state() const;

    /// Mean of recent gaps between tokens, or of first-token times where no gaps were seen; nothing before the first run.
    std::optional<Base::Duration> interTokenLatency() const;

    /// Mean of recent first-token times; nothing before the first run.
    std::optional<Base::Duration> firstToken() const;

    /// Failures since the last success.
    std::uint32_t failures() const;

    /// Whether it failed several times in a row, or failed while it was probed.
    bool isFailing() const;

    /// Part of its recent runs that it answered with an error; nothing before there are enough of them to tell.
    std::optional<double> errorShare() const;

    /// Whether it answers far more errors than @p peers' share.
    bool hasHighErrorShare(std::optional<double> peers) const;

    /// Whether it is much slower than @p peers' pace.
    bool isSlow(std::optional<Base::Duration> peers) const;

private:
    HealthState m_state = HealthState::Healthy;
    double m_gapMicroseconds = 0;
    double m_firstTokenMicroseconds = 0;
    std::uint32_t m_runs = 0;
    std::uint32_t m_consecutiveFailures = 0;
    std::uint32_t m_consecutiveErrors = 0; ///< answered in a row
    double m_errorShare = 0;
    std::uint32_t m_responses = 0; ///< runs that m_errorShare tells of
    std::uint32_t m_probesPassed = 0;
    Base::Duration m_ejection {};
    Base::Instant m_ejectedUntil {};
};

} // namespace Yokepond::Dispatch
