// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/cooldowns.h"

#include <algorithm>

namespace Yokepond::Dispatch {

namespace {

using Base::Instant;

/// An endpoint counts as full after this many rejections in a row. An endpoint that rejects two of five runs still accepts the
/// other three, which other homes send it during the cooldowns. With a limit of two it would often count as full.
constexpr std::uint32_t rejectionsUntilFull = 3;
/// Cooldown of a full endpoint that advertises none; it doubles with each further rejection.
constexpr Base::Duration initialDefaultCooldown = std::chrono::milliseconds(250);
constexpr Base::Duration maxDefaultCooldown = std::chrono::seconds(2);

/// Returns the cooldown of an endpoint that advertises none, after @p rejections runs rejected in a row.
Base::Duration defaultCooldown(std::uint32_t rejections)
{
    constexpr std::uint32_t maxDoublings = 3;
    return std::min(initialDefaultCooldown * (1U << std::min(rejections - rejectionsUntilFull, maxDoublings)),
                    maxDefaultCooldown);
}

} // namespace

void Cooldowns::startFor(std::uint64_t home, Instant until)
{
    Instant &end = m_endByHome[home];
    end = std::max(end, until);
}

void Cooldowns::recordRejection(Instant now, std::uint64_t home, bool brittle)
{
    ++m_consecutiveRejections;
    if (brittle) {
        m_consecutiveRejections = std::max(m_consecutiveRejections, rejectionsUntilFull);
    }
    if (!isFull()) {
        return;
    }
    const auto entry = m_endByHome.find(home);
    const bool isAdvertised = entry != m_endByHome.end() && entry->second > now;
    m_fullUntil = std::max(m_fullUntil, isAdvertised ? entry->second : now + defaultCooldown(m_consecutiveRejections));
}

void Cooldowns::recordAcceptance()
{
    m_consecutiveRejections = 0;
}

void Cooldowns::recordGrant(Instant now)
{
    m_lastGrant = now;
}

bool Cooldowns::isFull() const
{
    return m_consecutiveRejections >= rejectionsUntilFull;
}

bool Cooldowns::allowsAnyHome(Instant now) const
{
    if (!isFull()) {
        return true;
    }
    // After the cooldown one run at a time tests whether the endpoint accepts requests again.
    return now >= m_fullUntil && now >= m_lastGrant + maxRejectionDelay;
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
    return isFull() ? std::max(own, m_fullUntil) : own;
}

bool Cooldowns::restrictsAnyHome(Instant now) const
{
    return isFull() || std::ranges::any_of(m_endByHome, [now](const auto &entry) { return now < entry.second; });
}

void Cooldowns::removeExpired(Instant now)
{
    std::erase_if(m_endByHome, [now](const auto &entry) { return now >= entry.second; });
}

} // namespace Yokepond::Dispatch
