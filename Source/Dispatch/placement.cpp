// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/placement.h"

#include <algorithm>
#include <ranges>

namespace Yokepond::Dispatch {

namespace {

constexpr std::size_t maxPrefixes = 20'000;
constexpr std::size_t holdersPerPrefix = 3;
/// Part of its window by which a holder of the prefix may be fuller than the least loaded endpoint.
constexpr double loadSlack = 0.35;

const Candidate &leastLoaded(std::span<const Candidate> candidates)
{
    return *std::ranges::min_element(candidates, {}, loadOf);
}

} // namespace

std::optional<std::uint32_t> RoundRobin::choose(const QueuedAsk &, std::span<const Candidate> candidates, Base::Instant) const
{
    const auto next
        = std::ranges::find_if(candidates, [this](const Candidate &candidate) { return candidate.endpoint > m_last; });
    return next == candidates.end() ? candidates.front().endpoint : next->endpoint;
}

PlacedRun RoundRobin::recordPlacement(const QueuedAsk &, const Candidate &candidate, Base::Instant)
{
    m_last = candidate.endpoint;
    return {.endpoint = candidate.endpoint};
}

std::optional<std::uint32_t> LeastLoaded::choose(const QueuedAsk &, std::span<const Candidate> candidates, Base::Instant) const
{
    return leastLoaded(candidates).endpoint;
}

PlacedRun LeastLoaded::recordPlacement(const QueuedAsk &, const Candidate &candidate, Base::Instant)
{
    return {.endpoint = candidate.endpoint};
}

std::optional<std::uint32_t> PrefixAffinity::holder(const QueuedAsk &ask, std::span<const Candidate> candidates,
                                                    double maxLoad) const
{
    // The last hash stands for the longest beginning.
    for (const std::uint64_t prefix : ask.ask.prefix | std::views::reverse) {
        const auto holders = m_holders.find(prefix);
        if (holders == m_holders.end()) {
            continue;
        }
        for (const std::uint32_t endpoint : holders->second) {
            const auto candidate = std::ranges::find(candidates, endpoint, &Candidate::endpoint);
            if (candidate != candidates.end() && loadOf(*candidate) <= maxLoad) {
                return endpoint;
            }
        }
    }
    return std::nullopt;
}

std::optional<std::uint32_t> PrefixAffinity::choose(const QueuedAsk &ask, std::span<const Candidate> candidates,
                                                    Base::Instant) const
{
    const Candidate &least = leastLoaded(candidates);
    return holder(ask, candidates, loadOf(least) + loadSlack).value_or(least.endpoint);
}

PlacedRun PrefixAffinity::recordPlacement(const QueuedAsk &ask, const Candidate &candidate, Base::Instant)
{
    const std::uint32_t endpoint = candidate.endpoint;
    for (const std::uint64_t prefix : ask.ask.prefix) {
        const auto [entry, added] = m_holders.try_emplace(prefix);
        if (added) {
            m_byAge.push_back(prefix);
        }
        Holders &holders = entry->second;
        std::erase(holders, endpoint);
        holders.insert(holders.begin(), endpoint);
        if (holders.size() > holdersPerPrefix) {
            holders.pop_back();
        }
    }
    while (m_byAge.size() > maxPrefixes) {
        m_holders.erase(m_byAge.front());
        m_byAge.pop_front();
    }
    return {.endpoint = endpoint};
}

void PrefixAffinity::removeEndpoint(std::uint32_t endpoint)
{
    markUnreliable(endpoint);
}

void PrefixAffinity::markUnreliable(std::uint32_t endpoint)
{
    for (Holders &holders : m_holders | std::views::values) {
        std::erase(holders, endpoint);
    }
}

} // namespace Yokepond::Dispatch
