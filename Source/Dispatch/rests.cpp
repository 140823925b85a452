// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/rests.h"

#include <algorithm>

namespace Yokepond::Dispatch {

namespace {

using Base::Instant;

/// Requests turned away in a row. One that turns away two of five takes three fifths of what it is sent by others meanwhile.
constexpr std::uint32_t fullAfter = 3;
/// Of an endpoint that turns requests away and names no time; doubled with each further one.
constexpr Base::Duration firstAssumedRest = std::chrono::milliseconds(250);
constexpr Base::Duration longestAssumedRest = std::chrono::seconds(2);

/// After @p turnedAway requests in a row.
Base::Duration assumedRest(std::uint32_t turnedAway)
{
    constexpr std::uint32_t enoughDoublings = 3;
    return std::min(firstAssumedRest * (1U << std::min(turnedAway - fullAfter, enoughDoublings)), longestAssumedRest);
}

} // namespace

void Rests::asked(std::uint64_t home, Instant until)
{
    Instant &end = m_ends[home];
    end = std::max(end, until);
}

void Rests::turnedAway(Instant now, std::uint64_t home)
{
    ++m_turnedAway;
    if (!areOfAll()) {
        return;
    }
    const auto entry = m_ends.find(home);
    const bool isNamed = entry != m_ends.end() && entry->second > now;
    m_endOfAll = std::max(m_endOfAll, isNamed ? entry->second : now + assumedRest(m_turnedAway));
}

void Rests::accepted()
{
    m_turnedAway = 0;
}

void Rests::granted(Instant now)
{
    m_lastGrant = now;
}

bool Rests::areOfAll() const
{
    return m_turnedAway >= fullAfter;
}

bool Rests::allowSome(Instant now) const
{
    if (!areOfAll()) {
        return true;
    }
    // When the rest ends one run at a time finds out whether it takes requests again.
    return now >= m_endOfAll && now >= m_lastGrant + refusalArrives;
}

bool Rests::allow(Instant now, std::uint64_t home) const
{
    const auto entry = m_ends.find(home);
    return allowSome(now) && (entry == m_ends.end() || now >= entry->second);
}

Instant Rests::end(std::uint64_t home) const
{
    const auto entry = m_ends.find(home);
    const Instant own = entry == m_ends.end() ? Instant {} : entry->second;
    return areOfAll() ? std::max(own, m_endOfAll) : own;
}

bool Rests::any(Instant now) const
{
    return areOfAll() || std::ranges::any_of(m_ends, [now](const auto &entry) { return now < entry.second; });
}

void Rests::tick(Instant now)
{
    std::erase_if(m_ends, [now](const auto &entry) { return now >= entry.second; });
}

} // namespace Yokepond::Dispatch
