// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/waitestimates.h"

#include <algorithm>

namespace Yokepond::Dispatch {

namespace {

using Base::Duration;
using Base::Instant;

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
    const Instant begins = m_now + std::max(rateLimitWait(ahead.asks), cooldown);
    const bool missesDeadline = begins >= ask.deadline;
    return {missesDeadline ? std::max(late, begins - ask.target()) : late, missesDeadline, cooldown};
}

/// By how much the first token must be expected to miss its target even if the ask were served next; zero if it need not.
Duration WaitEstimates::latenessOf(const QueuedAsk &ask, const QueueAhead &ahead)
{
    const Duration cooldown = remainingCooldown(ask.home.incarnation);
    // A later attempt has cost a run already, unless all that could run it turn requests away.
    const bool hasCostARun = ask.key.id.attempt > 1 && cooldown == Duration::zero();
    if (!m_refuseLate || hasCostARun) {
        return Duration::zero();
    }
    const Duration closed = std::max(rateLimitWait(ahead.asks), cooldown);
    const bool modelled
        = std::visit([&](const auto &placement) { return placement.prefillTime(ask); }, m_placement) > Duration::zero();
    if (!modelled) {
        // Where no prompts are read only what the endpoints say of themselves tells anything.
        return closed > Duration::zero() ? std::max(Duration::zero(), m_now + closed - ask.target()) : Duration::zero();
    }
    if (m_usable.empty()) {
        m_usable = usableCandidates(m_endpoints, m_now);
    }
    const Duration behindWork = ahead.prefillTime / std::max<std::int64_t>(1, static_cast<std::int64_t>(m_usable.size()));
    const Instant begins = m_now + std::max(closed, behindWork);
    return std::visit(
        [&](const auto &placement) {
            const auto [least, added] = m_leastBacklogs.try_emplace(ask.parameters.rank);
            if (added) {
                least->second = placement.leastBacklog(ask.parameters.rank, m_usable, m_now);
            }
            const Duration atMost = placement.maxExpectedFirstToken(ask, least->second);
            if (atMost < Duration::max() && begins + atMost <= ask.target()) {
                return Duration::zero();
            }
            return std::max(Duration::zero(), begins + placement.expectedFirstToken(ask, m_usable, m_now) - ask.target());
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
