// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Rate/ratelimiter.h"

#include <algorithm>
#include <limits>

namespace Yokepond::Rate {

namespace {

/// Runs are begun at events and at ticks; what a rate allows between two ticks must not be lost.
constexpr double savedSeconds = 0.1;
constexpr double shareWhileShared = 0.5;

} // namespace

double enforcedRate(const RateState &known)
{
    return std::max(leastRate, known.perSecond);
}

RateLimiter::RateLimiter(Base::Instant sharedUntil)
    : m_sharedUntil(sharedUntil)
{
}

bool RateLimiter::applyUpdate(Base::Instant now, const RateState &news)
{
    const bool wasLimited = isLimited();
    // What has been earned so far was earned by the rate before. What began before the first word of a limit is not known, so
    // that it starts with nothing saved.
    const double savedBefore = wasLimited ? saved(now) : 0.0;
    const bool changed = m_known.applyUpdate(news);
    if (isLimited()) {
        m_saved = std::min(savedBefore, most());
        m_savedAt = now;
    }
    return changed;
}

const RateState &RateLimiter::rate() const
{
    return m_known;
}

bool RateLimiter::isLimited() const
{
    return m_known.isLimited();
}

std::uint32_t RateLimiter::left(Base::Instant now) const
{
    return isLimited() ? static_cast<std::uint32_t>(std::max(0.0, saved(now))) : std::numeric_limits<std::uint32_t>::max();
}

void RateLimiter::spend(Base::Instant now)
{
    if (isLimited()) {
        m_saved = saved(now) - 1;
        m_savedAt = now;
    }
}

double RateLimiter::most() const
{
    return 1.0 + enforcedRate(m_known) * savedSeconds;
}

double RateLimiter::saved(Base::Instant now) const
{
    const Base::Instant sharedUntil = std::clamp(m_sharedUntil, m_savedAt, std::max(m_savedAt, now));
    const double whileShared = Base::seconds(sharedUntil - m_savedAt) * shareWhileShared;
    const double alone = Base::seconds(std::max(now, sharedUntil) - sharedUntil);
    return std::min(most(), m_saved + enforcedRate(m_known) * (whileShared + alone));
}

} // namespace Yokepond::Rate
