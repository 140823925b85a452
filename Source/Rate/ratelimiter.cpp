// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Rate/ratelimiter.h"

#include <algorithm>
#include <array>
#include <limits>

namespace Yokepond::Rate {

namespace {

/// Size of the bucket beyond one run, in seconds of the rate. Runs start at events and at ticks; what the rate allows between two
/// ticks must not be lost.
constexpr double burstSeconds = 0.1;
/// Part of the rate that is used while another host may start runs as well.
constexpr double usedShareOfSharedLimit = 0.5;

/// Returns the size of the bucket for a rate of @p perSecond.
double capacityAt(double perSecond)
{
    return 1.0 + perSecond * burstSeconds;
}

} // namespace

double enforcedRate(const RateState &state)
{
    return std::max(minRate, state.perSecond);
}

std::optional<double> enforcedLimit(const RateState &advertised, const Configuration::ColdPeriod &cold, Base::Instant now)
{
    std::optional<double> limit;
    if (advertised.isLimited()) {
        limit = enforcedRate(advertised);
    }
    if (cold.isActive(now)) {
        limit = std::min(cold.perSecond, limit.value_or(cold.perSecond));
    }
    return limit;
}

RateLimiter::RateLimiter(Base::Instant sharedUntil)
    : m_sharedUntil(sharedUntil)
{
}

bool RateLimiter::applyUpdate(Base::Instant now, const RateState &update)
{
    const bool wasLimited = limit(now).has_value();
    const double balanceBefore = wasLimited ? balance(now) : 0.0;
    const bool changed = m_rate.applyUpdate(update);
    restart(now, wasLimited, balanceBefore);
    return changed;
}

bool RateLimiter::setColdPeriod(Base::Instant now, const Configuration::ColdPeriod &cold)
{
    if (cold == m_cold) {
        return false;
    }
    const std::optional<double> before = limit(now);
    const double balanceBefore = before ? balance(now) : 0.0;
    m_cold = cold;
    restart(now, before.has_value(), balanceBefore);
    return limit(now) != before;
}

void RateLimiter::restart(Base::Instant now, bool wasLimited, double balanceBefore)
{
    if (const auto limited = limit(now)) {
        m_balance = wasLimited ? std::min(balanceBefore, capacityAt(*limited)) : 0.0;
        m_updatedAt = now;
    }
}

const RateState &RateLimiter::rate() const
{
    return m_rate;
}

std::optional<double> RateLimiter::limit(Base::Instant now) const
{
    return enforcedLimit(m_rate, m_cold, now);
}

std::uint32_t RateLimiter::left(Base::Instant now) const
{
    return limit(now) ? static_cast<std::uint32_t>(std::max(0.0, balance(now))) : std::numeric_limits<std::uint32_t>::max();
}

void RateLimiter::spend(Base::Instant now)
{
    if (limit(now)) {
        m_balance = balance(now) - 1;
        m_updatedAt = now;
    }
}

double RateLimiter::earned(Base::Instant begin, Base::Instant end) const
{
    std::array boundaries = {begin, std::clamp(m_sharedUntil, begin, end), std::clamp(m_cold.until, begin, end), end};
    std::ranges::sort(boundaries);
    double sum = 0;
    for (std::size_t index = 1; index < boundaries.size(); ++index) {
        const Base::Instant from = boundaries[index - 1];
        const double share = from < m_sharedUntil ? usedShareOfSharedLimit : 1.0;
        sum += limit(from).value_or(0.0) * share * Base::seconds(boundaries[index] - from);
    }
    return sum;
}

double RateLimiter::balance(Base::Instant now) const
{
    return std::min(capacityAt(limit(now).value_or(0.0)), m_balance + earned(m_updatedAt, std::max(m_updatedAt, now)));
}

} // namespace Yokepond::Rate
