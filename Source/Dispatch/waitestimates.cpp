// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/waitestimates.h"

#include <algorithm>

namespace Yokepond::Dispatch {

namespace {

using Base::Duration;
using Base::Instant;

/// A request is given up only if not even a response of this share of the expected length could end before its deadline.
constexpr double leastShareOfResponse = 0.5;

} // namespace

WaitEstimates::WaitEstimates(Instant now, const EndpointStates &endpoints, const Placement &placement, bool refuseLate)
    : m_now(now)
    , m_endpoints(endpoints)
    , m_placement(placement)
    , m_refuseLate(refuseLate)
{
}

bool WaitEstimates::needQueueAhead()
{
    return m_refuseLate || rate().has_value();
}

WaitEstimate WaitEstimates::forAsk(const QueuedAsk &ask, const QueueAhead &ahead)
{
    const Duration late = latenessOf(ask, ahead);
    const Duration cooldown = remainingCooldown(ask.home.incarnation);
    const Instant start = m_now + std::max({rateLimitWait(ahead.asks), cooldown, prefillWait(ask, ahead)});
    // While nothing waits, all asks are tried, so that the expected lengths follow the real ones.
    const Duration response = ahead.asks > 0 ? leastResponseTime(ask) : Duration::zero();
    const Duration lacking = start + response - ask.deadline;
    const bool missesDeadline = lacking >= Duration::zero();
    return {missesDeadline ? std::max({late, start - ask.target(), lacking}) : late, missesDeadline, cooldown};
}

/// Returns the time that the engines need to prefill the prompts ahead of @p ask.
Duration WaitEstimates::prefillWait(const QueuedAsk &ask, const QueueAhead &ahead)
{
    if (!m_refuseLate || ask.mayContinue()) {
        return Duration::zero();
    }
    return ahead.prefillTime / std::max<std::int64_t>(1, static_cast<std::int64_t>(usable().size()));
}

const std::vector<Candidate> &WaitEstimates::usable()
{
    if (m_usable.empty()) {
        m_usable = usableCandidates(m_endpoints, m_now);
    }
    return m_usable;
}

/// Returns how much time before its deadline the run of @p ask needs at least, if its response is much shorter than expected.
Duration WaitEstimates::leastResponseTime(const QueuedAsk &ask) const
{
    // The rest of a stream may be short.
    if (!m_refuseLate || !ask.parameters.deadlineEndsRun || ask.mayContinue()) {
        return Duration::zero();
    }
    const Duration expected = std::visit([&](const auto &placement) { return placement.expectedResponseTime(ask); }, m_placement);
    return std::chrono::duration_cast<Duration>(expected * leastShareOfResponse);
}

/// Returns the time by which the first token is expected to miss its target; zero if it can be on time.
Duration WaitEstimates::latenessOf(const QueuedAsk &ask, const QueueAhead &ahead)
{
    const Duration cooldown = remainingCooldown(ask.home.incarnation);
    // Refusing it would waste the run of an earlier attempt, unless the endpoints rejected that run because of
    // cooldowns.
    const bool wouldWasteARun = ask.mayContinue() && cooldown == Duration::zero();
    if (!m_refuseLate || wouldWasteARun) {
        return Duration::zero();
    }
    const Duration advertisedWait = std::max(rateLimitWait(ahead.asks), cooldown);
    const bool modelled
        = std::visit([&](const auto &placement) { return placement.expectedPrefillTime(ask, false); }, m_placement)
        > Duration::zero();
    if (!modelled) {
        // Without a model of engines only the rate limits and cooldowns that the endpoints advertise give an estimate.
        return advertisedWait > Duration::zero() ? std::max(Duration::zero(), m_now + advertisedWait - ask.target())
                                                 : Duration::zero();
    }
    const Instant start = m_now + std::max(advertisedWait, prefillWait(ask, ahead));
    return std::visit(
        [&](const auto &placement) {
            const auto [entry, added] = m_minBacklogs.try_emplace({ask.parameters.urgency, ask.parameters.hasTightestGap});
            if (added) {
                entry->second = placement.minBacklog(ask, usable(), m_now);
            }
            const Duration upperBound = placement.firstTokenUpperBound(ask, entry->second);
            if (upperBound < Duration::max() && start + upperBound <= ask.target()) {
                return Duration::zero();
            }
            return std::max(Duration::zero(), start + placement.expectedFirstToken(ask, usable(), m_now) - ask.target());
        },
        m_placement);
}

Duration WaitEstimates::remainingCooldown(std::uint64_t home)
{
    if (!m_allHaveCooldowns) {
        m_allHaveCooldowns = allHaveCooldowns(m_endpoints, m_now);
    }
    if (!*m_allHaveCooldowns) {
        return Duration::zero();
    }
    const auto [entry, added] = m_cooldowns.try_emplace(home);
    if (added) {
        entry->second = Dispatch::remainingCooldown(m_endpoints, m_now, home);
    }
    return entry->second;
}

const std::optional<PooledRate> &WaitEstimates::rate()
{
    if (!m_rate) {
        m_rate = pooledRate(m_endpoints, m_now);
    }
    return *m_rate;
}

Duration WaitEstimates::rateLimitWait(std::size_t asks)
{
    return rate() ? rate()->waitBehind(asks) : Duration::zero();
}

} // namespace Yokepond::Dispatch
