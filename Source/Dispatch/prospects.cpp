// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/prospects.h"

#include <algorithm>

namespace Yokepond::Dispatch {

namespace {

using Base::Duration;
using Base::Instant;

} // namespace

Prospects::Prospects(Instant now, const EndpointStates &endpoints, const Placement &placement, bool refuseLate)
    : m_now(now)
    , m_endpoints(endpoints)
    , m_placement(placement)
    , m_refuseLate(refuseLate)
{
}

bool Prospects::dependOnOthers()
{
    return m_refuseLate || pace().has_value();
}

Prospect Prospects::of(const QueuedAsk &ask, const Ahead &ahead)
{
    const Duration late = lateness(ask, ahead);
    const Instant begins = m_now + pacedWait(ahead.asks);
    const bool inVain = begins >= ask.deadline;
    return {inVain ? std::max(late, begins - ask.target()) : late, inVain};
}

/// By how much the first token must be expected to miss its target even if the ask were served next; zero if it need not.
Duration Prospects::lateness(const QueuedAsk &ask, const Ahead &ahead)
{
    // A later attempt has cost a run already.
    if (!m_refuseLate || ask.key.id.attempt > 1) {
        return Duration::zero();
    }
    const Duration paced = pacedWait(ahead.asks);
    const bool modelled = std::visit([&](const auto &placement) { return placement.work(ask); }, m_placement) > Duration::zero();
    if (!modelled) {
        // Where no prompts are read only the rate of the endpoints tells anything.
        return paced > Duration::zero() ? std::max(Duration::zero(), m_now + paced - ask.target()) : Duration::zero();
    }
    if (m_usable.empty()) {
        m_usable = usableOf(m_endpoints, m_now);
    }
    const Duration behindWork = ahead.work / std::max<std::int64_t>(1, static_cast<std::int64_t>(m_usable.size()));
    const Instant begins = m_now + std::max(paced, behindWork);
    return std::visit(
        [&](const auto &placement) {
            const auto [least, added] = m_leastBacklogs.try_emplace(ask.terms.rank);
            if (added) {
                least->second = placement.leastBacklog(ask.terms.rank, m_usable, m_now);
            }
            const Duration atMost = placement.expectedAtMost(ask, least->second);
            if (atMost < Duration::max() && begins + atMost <= ask.target()) {
                return Duration::zero();
            }
            return std::max(Duration::zero(), begins + placement.expected(ask, m_usable, m_now) - ask.target());
        },
        m_placement);
}

const std::optional<PooledPace> &Prospects::pace()
{
    if (!m_pace) {
        m_pace = pooledPace(m_endpoints, m_now);
    }
    return *m_pace;
}

Duration Prospects::pacedWait(std::size_t asks)
{
    return pace() ? pace()->waitBehind(asks) : Duration::zero();
}

} // namespace Yokepond::Dispatch
