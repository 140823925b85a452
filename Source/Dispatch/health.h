// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Health of an endpoint, derived from the observations of its runs' homes.

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

/// Tracks the health of one endpoint. An ejected endpoint gets no work for a time that doubles with each ejection. After that it
/// is probed: it gets one run at a time until some of them succeed.
class Health
{
public:
    /// Adds a finished run. An error response counts for less than a broken run, since some applications respond with an error to
    /// a share of their requests because of the request itself.
    void observe(const Observation &observation);

    /// Raises the estimate of the first-token time to @p waited, for a run that still has no token after that time.
    void observeWaiting(Base::Duration waited);

    /// Changes the state from ejected to probing when the ejection is over.
    void tick(Base::Instant now);

    /// Ejects the endpoint for a time that doubles with each ejection, up to @p longest.
    void eject(Base::Instant now, Base::Duration longest);

    HealthState state() const;

    /// Returns the moving average of the time between tokens, or of the first-token time if there were no gaps; nothing before
    /// the first run.
    std::optional<Base::Duration> interTokenLatency() const;

    /// Returns the moving average of the first-token time; nothing before the first run.
    std::optional<Base::Duration> firstToken() const;

    /// Returns the number of failures since the last success.
    std::uint32_t failures() const;

    /// Returns whether the endpoint failed several times in a row, or failed a probe.
    bool isFailing() const;

    /// Returns the share of recent responses that were errors; nothing before there are enough responses.
    std::optional<double> errorShare() const;

    /// Returns whether its share of errors is far above @p peers, the median of the shard.
    bool hasHighErrorShare(std::optional<double> peers) const;

    /// Returns whether its time between tokens is far above @p peers, the median of the shard.
    bool isSlow(std::optional<Base::Duration> peers) const;

private:
    HealthState m_state = HealthState::Healthy;
    double m_gapMicroseconds = 0;
    double m_firstTokenMicroseconds = 0;
    std::uint32_t m_runs = 0;
    std::uint32_t m_consecutiveFailures = 0;
    std::uint32_t m_consecutiveErrors = 0; ///< error responses
    double m_errorShare = 0;
    std::uint32_t m_responses = 0; ///< responses that m_errorShare is made from
    std::uint32_t m_probesPassed = 0;
    Base::Duration m_ejection {};
    Base::Instant m_ejectedUntil {};
};

} // namespace Yokepond::Dispatch
