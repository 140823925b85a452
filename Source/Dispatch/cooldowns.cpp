// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/cooldowns.h"

#include <algorithm>

namespace Yokepond::Dispatch {

namespace {

using Base::Instant;

/// Requests turned away in a row. One that turns away two of five takes three fifths of what it is sent by others meanwhile.
constexpr std::uint32_t rejectionsUntilFull = 3;
/// Of an endpoint that turns requests away and names no time; doubled with each further one.
constexpr Base::Duration initialDefaultCooldown = std::chrono::milliseconds(250);
constexpr Base::Duration maxDefaultCooldown = std::chrono::seconds(2);

/// After @p turnedAway requests in a row.
Base::Duration defaultCooldown(std::uint32_t turnedAway)
{
    constexpr std::uint32_t maxDoublings = 3;
    return std::min(initialDefaultCooldown * (1U << std::min(turnedAway - rejectionsUntilFull, maxDoublings)),
                    maxDefaultCooldown);
}

} // namespace

void Cooldowns::startFor(std::uint64_t home, Instant until)
{
    Instant &end = m_endByHome[home];
    end = std::max(end, until);
}

void Cooldowns::recordRejection(Instant now, std::uint64_t home)
{
    ++m_consecutiveRejections;
    if (!coversAllHomes()) {
        return;
    }
    const auto entry = m_endByHome.find(home);
    const bool isNamed = entry != m_endByHome.end() && entry->second > now;
    m_endForAll = std::max(m_endForAll, isNamed ? entry->second : now + defaultCooldown(m_consecutiveRejections));
}

void Cooldowns::recordAcceptance()
{
    m_consecutiveRejections = 0;
}

void Cooldowns::recordGrant(Instant now)
{
    m_lastGrant = now;
}

bool Cooldowns::coversAllHomes() const
{
    return m_consecutiveRejections >= rejectionsUntilFull;
}

bool Cooldowns::allowsAnyHome(Instant now) const
{
    if (!coversAllHomes()) {
        return true;
    }
    // When the rest ends one run at a time finds out whether it takes requests again.
    return now >= m_endForAll && now >= m_lastGrant + maxRejectionDelay;
}

bool Cooldowns::allows(Instant now, std::uint64_t home) const
{
    const auto entry = m_endByHome.find(home);
    return allowsAnyHome(now) && (entry == m_endByHome.end() || now >= entry->second);
}

Instant Cooldowns::endFor(std::uint64_t home) const
{
    const auto entry = m_endByHome.find(home);
    const Instant own = entry == m_endByHome.end() ? Instant {} : entry->second;
    return coversAllHomes() ? std::max(own, m_endForAll) : own;
}

bool Cooldowns::isActive(Instant now) const
{
    return coversAllHomes() || std::ranges::any_of(m_endByHome, [now](const auto &entry) { return now < entry.second; });
}

void Cooldowns::removeExpired(Instant now)
{
    std::erase_if(m_endByHome, [now](const auto &entry) { return now >= entry.second; });
}

} // namespace Yokepond::Dispatch
