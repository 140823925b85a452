// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Rate/ratelimiter.h"

#include <algorithm>
#include <limits>

namespace Yokepond::Rate {

namespace {

/// Size of the bucket beyond one run, in seconds of the rate. Runs start at events and at ticks; what the rate allows between two
/// ticks must not be lost.
constexpr double burstSeconds = 0.1;
/// Part of the rate that is used while another host may start runs as well.
constexpr double usedShareOfSharedLimit = 0.5;

} // namespace

double enforcedRate(const RateState &state)
{
    return std::max(minRate, state.perSecond);
}

RateLimiter::RateLimiter(Base::Instant sharedUntil)
    : m_sharedUntil(sharedUntil)
{
}

bool RateLimiter::applyUpdate(Base::Instant now, const RateState &update)
{
    const bool wasLimited = isLimited();
    // The balance so far was earned at the previous rate. Runs that started before the first limit was known were not counted, so
    // a new limit starts with an empty bucket.
    const double balanceBefore = wasLimited ? balance(now) : 0.0;
    const bool changed = m_rate.applyUpdate(update);
    if (isLimited()) {
        m_balance = std::min(balanceBefore, capacity());
        m_updatedAt = now;
    }
    return changed;
}

const RateState &RateLimiter::rate() const
{
    return m_rate;
}

bool RateLimiter::isLimited() const
{
    return m_rate.isLimited();
}

std::uint32_t RateLimiter::left(Base::Instant now) const
{
    return isLimited() ? static_cast<std::uint32_t>(std::max(0.0, balance(now))) : std::numeric_limits<std::uint32_t>::max();
}

void RateLimiter::spend(Base::Instant now)
{
    if (isLimited()) {
        m_balance = balance(now) - 1;
        m_updatedAt = now;
    }
}

double RateLimiter::capacity() const
{
    return 1.0 + enforcedRate(m_rate) * burstSeconds;
}

double RateLimiter::balance(Base::Instant now) const
{
    const Base::Instant sharedUntil = std::clamp(m_sharedUntil, m_updatedAt, std::max(m_updatedAt, now));
    const double weightedSharedSeconds = Base::seconds(sharedUntil - m_updatedAt) * usedShareOfSharedLimit;
    const double unsharedSeconds = Base::seconds(std::max(now, sharedUntil) - sharedUntil);
    return std::min(capacity(), m_balance + enforcedRate(m_rate) * (weightedSharedSeconds + unsharedSeconds));
}

} // namespace Yokepond::Rate
