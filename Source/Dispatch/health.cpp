// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/health.h"

#include <algorithm>

namespace Yokepond::Dispatch {

namespace {

constexpr double latestWeight = 0.3; ///< weight of the latest run in the moving averages
constexpr double slowFactor = 2.5; ///< an endpoint is slow above this multiple of the median
constexpr std::uint32_t minRuns = 2; ///< an endpoint with fewer runs is never slow
constexpr std::uint32_t maxConsecutiveFailures = 2; ///< an endpoint with this many is failing
/// An endpoint with this many error responses in a row is failing. If one response in seven is an error, six in a row occur once
/// in a hundred thousand times.
constexpr std::uint32_t maxConsecutiveErrors = 6;
constexpr std::uint32_t probesToPass = 2;
/// Weight of the latest run in the share of errors, and responses needed before the share is used. Some applications respond to
/// one request in seven with an error at every endpoint. At that rate the share varies by 0.08, so a difference of a third is
/// rarely random.
constexpr double latestErrorWeight = 0.1;
constexpr std::uint32_t minResponses = 6;
/// An endpoint is ejected when its share of errors exceeds the median by this. With a smaller margin, random differences
/// eject healthy endpoints (see above); with a larger one, endpoints that respond to many requests with errors stay in use.
constexpr double errorShareMargin = 0.25;
constexpr Base::Duration initialEjection = std::chrono::seconds(1);

double movingAverage(double mean, Base::Duration latest, bool first)
{
    const auto value = static_cast<double>(latest.count());
    return first ? value : mean + latestWeight * (value - mean);
}

} // namespace

void Health::observe(const Observation &observation)
{
    if (!observation.failed) {
        const double error = observation.errorResponse ? 1.0 : 0.0;
        ++m_responses;
        // The first responses have equal weight. A moving average that starts at zero would take longer to show a high share.
        m_errorShare += std::max(latestErrorWeight, 1.0 / m_responses) * (error - m_errorShare);
    }
    if (observation.errorResponse) {
        ++m_consecutiveErrors;
        return;
    }
    m_consecutiveErrors = 0;
    if (observation.failed) {
        ++m_consecutiveFailures;
        m_probesPassed = 0;
        return;
    }
    m_consecutiveFailures = 0;
    m_gapMicroseconds = movingAverage(m_gapMicroseconds, observation.gap, m_runs == 0);
    m_firstTokenMicroseconds = movingAverage(m_firstTokenMicroseconds, observation.firstToken, m_runs == 0);
    ++m_runs;
    if (m_state == HealthState::Probing && ++m_probesPassed >= probesToPass) {
        m_state = HealthState::Healthy;
        m_ejection = Base::Duration::zero();
    }
}

void Health::observeWaiting(Base::Duration waited)
{
    m_firstTokenMicroseconds = std::max(m_firstTokenMicroseconds, static_cast<double>(waited.count()));
}

void Health::tick(Base::Instant now)
{
    if (m_state == HealthState::Ejected && now >= m_ejectedUntil) {
        m_state = HealthState::Probing;
        m_probesPassed = 0;
        m_consecutiveFailures = 0;
        m_consecutiveErrors = 0;
        // Observations from before the ejection say nothing about the current state.
        m_runs = 0;
        m_responses = 0;
        m_errorShare = 0;
    }
}

void Health::eject(Base::Instant now, Base::Duration longest)
{
    m_ejection = m_ejection == Base::Duration::zero() ? initialEjection : std::min(m_ejection * 2, longest);
    m_state = HealthState::Ejected;
    m_ejectedUntil = now + m_ejection;
}

HealthState Health::state() const
{
    return m_state;
}

std::optional<Base::Duration> Health::interTokenLatency() const
{
    if (m_runs == 0) {
        return std::nullopt;
    }
    const double value = m_gapMicroseconds > 0 ? m_gapMicroseconds : m_firstTokenMicroseconds;
    return Base::Duration(static_cast<std::int64_t>(value));
}

std::optional<Base::Duration> Health::firstToken() const
{
    return m_runs == 0 ? std::nullopt : std::optional(Base::Duration(static_cast<std::int64_t>(m_firstTokenMicroseconds)));
}

std::uint32_t Health::failures() const
{
    return m_consecutiveFailures;
}

bool Health::isFailing() const
{
    return m_consecutiveFailures >= maxConsecutiveFailures || m_consecutiveErrors >= maxConsecutiveErrors
        || (m_state == HealthState::Probing && m_consecutiveFailures > 0);
}

std::optional<double> Health::errorShare() const
{
    return m_responses < minResponses ? std::nullopt : std::optional(m_errorShare);
}

bool Health::hasHighErrorShare(std::optional<double> peers) const
{
    const auto own = errorShare();
    return peers && own && *own > *peers + errorShareMargin;
}

bool Health::isSlow(std::optional<Base::Duration> peers) const
{
    const auto own = interTokenLatency();
    return peers && own && m_runs >= minRuns && *own > *peers * slowFactor;
}

} // namespace Yokepond::Dispatch
