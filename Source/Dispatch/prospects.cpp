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
    const Duration rest = restOf(ask.home.incarnation);
    const Instant begins = m_now + std::max(pacedWait(ahead.asks), rest);
    const bool inVain = begins >= ask.deadline;
    return {inVain ? std::max(late, begins - ask.target()) : late, inVain, rest};
}

/// By how much the first token must be expected to miss its target even if the ask were served next; zero if it need not.
Duration Prospects::lateness(const QueuedAsk &ask, const Ahead &ahead)
{
    const Duration rest = restOf(ask.home.incarnation);
    // A later attempt has cost a run already, unless all that could run it turn requests away.
    const bool hasCostARun = ask.key.id.attempt > 1 && rest == Duration::zero();
    if (!m_refuseLate || hasCostARun) {
        return Duration::zero();
    }
    const Duration closed = std::max(pacedWait(ahead.asks), rest);
    const bool modelled = std::visit([&](const auto &placement) { return placement.work(ask); }, m_placement) > Duration::zero();
    if (!modelled) {
        // Where no prompts are read only what the endpoints say of themselves tells anything.
        return closed > Duration::zero() ? std::max(Duration::zero(), m_now + closed - ask.target()) : Duration::zero();
    }
    if (m_usable.empty()) {
        m_usable = usableOf(m_endpoints, m_now);
    }
    const Duration behindWork = ahead.work / std::max<std::int64_t>(1, static_cast<std::int64_t>(m_usable.size()));
    const Instant begins = m_now + std::max(closed, behindWork);
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

Duration Prospects::restOf(std::uint64_t home)
{
    if (!m_allRest) {
        m_allRest = allRest(m_endpoints, m_now);
    }
    if (!*m_allRest) {
        return Duration::zero();
    }
    const auto [entry, added] = m_rests.try_emplace(home);
    if (added) {
        entry->second = Dispatch::restOf(m_endpoints, m_now, home);
    }
    return entry->second;
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
