// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/endpointstates.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <ranges>
#include <type_traits>

namespace Yokepond::Dispatch {

namespace {

using Base::Duration;

/// A median is compared only if at least this many endpoints have a value.
constexpr std::size_t minEndpointsToCompare = 3;

template<typename Value>
Value medianOf(std::vector<Value> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::ranges::nth_element(values, middle);
    return *middle;
}

/// Returns the value that @p getter returns for each healthy endpoint, without those for which it returns nothing.
template<typename Getter>
auto valuesOfHealthy(const EndpointStates &endpoints, Getter getter)
{
    using Value = typename std::invoke_result_t<Getter, const Health &>::value_type;
    std::vector<Value> found;
    for (const EndpointState &state : endpoints | std::views::values) {
        const std::optional<Value> entry = getter(state.health);
        if (entry && state.health.state() == HealthState::Healthy) {
            found.push_back(*entry);
        }
    }
    return found;
}

} // namespace

bool EndpointState::isUsable() const
{
    return !drained && !leaving && !replaced && !announcedLeaving;
}

bool EndpointState::acceptsWork() const
{
    return isUsable() && health.state() != HealthState::Ejected;
}

std::uint32_t EndpointState::windowSize() const
{
    return std::visit([](const auto &policy) { return policy.size(); }, window);
}

std::size_t totalWindow(const EndpointStates &endpoints)
{
    return std::transform_reduce(endpoints.begin(), endpoints.end(), std::size_t {0}, std::plus {}, [](const auto &entry) {
        const EndpointState &state = entry.second;
        if (!state.isUsable() || state.cooldowns.isFull()) {
            return std::size_t {0};
        }
        // An endpoint that limits its rate counts with the runs that it starts in a second, since it cannot fill all its slots.
        const double startsPerSecond
            = state.rateLimiter.rate().isLimited() ? std::ceil(Rate::enforcedRate(state.rateLimiter.rate())) : state.windowSize();
        return std::size_t {std::min(state.windowSize(), static_cast<std::uint32_t>(startsPerSecond))};
    });
}

std::size_t totalRunning(const EndpointStates &endpoints)
{
    return std::transform_reduce(endpoints.begin(), endpoints.end(), std::size_t {0}, std::plus {},
                                 [](const auto &entry) { return std::size_t {entry.second.running}; });
}

std::size_t ejectedCount(const EndpointStates &endpoints)
{
    const auto isEjected = [](const EndpointState &state) { return state.health.state() == HealthState::Ejected; };
    return static_cast<std::size_t>(std::ranges::count_if(endpoints | std::views::values, isEjected));
}

std::optional<Duration> medianInterTokenLatency(const EndpointStates &endpoints)
{
    const std::vector<Duration> paces
        = valuesOfHealthy(endpoints, [](const Health &health) { return health.interTokenLatency(); });
    return paces.size() < minEndpointsToCompare ? std::nullopt : std::optional(medianOf(paces));
}

std::optional<double> medianErrorShare(const EndpointStates &endpoints)
{
    const std::vector<double> shares = valuesOfHealthy(endpoints, [](const Health &health) { return health.errorShare(); });
    return shares.size() < minEndpointsToCompare ? std::nullopt : std::optional(medianOf(shares));
}

std::optional<Duration> medianFirstToken(const EndpointStates &endpoints)
{
    const std::vector<Duration> times = valuesOfHealthy(endpoints, [](const Health &health) { return health.firstToken(); });
    return times.empty() ? std::nullopt : std::optional(medianOf(times));
}

std::vector<Candidate> usableCandidates(const EndpointStates &endpoints, Base::Instant now)
{
    std::vector<Candidate> open;
    std::vector<Candidate> used;
    for (const auto &[number, state] : endpoints) {
        if (state.acceptsWork()) {
            const bool isOpen = state.rateLimiter.left(now) > 0 && state.cooldowns.allowsAnyHome(now);
            std::vector<Candidate> &found = isOpen ? open : used;
            found.push_back({number, state.running, std::max(1U, state.slots), state.kvCacheTokens, state.transferTokensPerMs});
        }
    }
    return open.empty() ? used : open;
}

bool allHaveCooldowns(const EndpointStates &endpoints, Base::Instant now)
{
    return std::ranges::all_of(endpoints | std::views::values, [now](const EndpointState &state) {
        return !state.acceptsWork() || state.cooldowns.restrictsAnyHome(now);
    });
}

Duration remainingCooldown(const EndpointStates &endpoints, Base::Instant now, std::uint64_t home)
{
    std::optional<Duration> shortest;
    for (const EndpointState &state : endpoints | std::views::values) {
        if (state.acceptsWork()) {
            const Duration cooldown = std::max(Duration::zero(), state.cooldowns.endFor(home) - now);
            shortest = std::min(cooldown, shortest.value_or(cooldown));
        }
    }
    return shortest.value_or(Duration::zero());
}

Duration PooledRate::waitBehind(std::size_t ahead) const
{
    const double missing = static_cast<double>(ahead + 1) - left;
    return missing <= 0 ? Duration::zero()
                        : std::chrono::duration_cast<Duration>(std::chrono::duration<double>(missing / perSecond));
}

std::optional<PooledRate> pooledRate(const EndpointStates &endpoints, Base::Instant now)
{
    PooledRate pooled;
    for (const EndpointState &state : endpoints | std::views::values) {
        if (!state.acceptsWork()) {
            continue;
        }
        const auto limit = state.rateLimiter.limit(now);
        if (!limit) {
            return std::nullopt;
        }
        pooled.left += state.rateLimiter.left(now);
        pooled.perSecond += *limit;
    }
    return pooled.perSecond > 0 ? std::optional(pooled) : std::nullopt;
}

std::vector<EndpointView> viewsOf(const EndpointStates &endpoints)
{
    std::vector<EndpointView> views;
    views.reserve(endpoints.size());
    for (const auto &[number, state] : endpoints) {
        const Rate::RateState &rate = state.rateLimiter.rate();
        views.push_back({number, state.running, state.windowSize(), state.health.state(), !state.isUsable(),
                         state.announcedLeaving, state.cooldowns.isFull(),
                         Base::milliseconds(state.health.firstToken().value_or(Duration::zero())),
                         Base::milliseconds(state.health.interTokenLatency().value_or(Duration::zero())),
                         rate.isLimited() ? std::optional(rate.perSecond) : std::nullopt});
    }
    return views;
}

} // namespace Yokepond::Dispatch
