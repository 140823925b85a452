// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Relay/endpointpaths.h"

#include <algorithm>

namespace Yokepond::Relay {

namespace {

/// Number of endpoints that cannot be reached one after another, from which on the host's own paths are in doubt.
constexpr std::size_t minFailuresForDoubt = 3;
/// Helpers that a run tries. One of them may have the same loss of paths; more would not fit into the time for connecting.
constexpr std::size_t maxHelpersPerRun = 2;
/// Lost paths that are kept and probed. With more, the host's own paths are in doubt anyway.
constexpr std::size_t maxLost = 64;
/// Time after which a lost path that no run needed is forgotten, since its endpoint may have gone for good.
constexpr Base::Duration lostRetention = std::chrono::seconds(30);

} // namespace

void EndpointPaths::setHelpers(std::vector<TunnelHelper> helpers)
{
    // Known helpers keep their order, in which those that worked last come first.
    const auto rank = [this](const TunnelHelper &helper) { return std::ranges::find(m_helpers, helper) - m_helpers.begin(); };
    std::ranges::stable_sort(helpers, {}, rank);
    m_helpers = std::move(helpers);
}

bool EndpointPaths::hasHelpers() const
{
    return !m_helpers.empty();
}

std::vector<Way> EndpointPaths::ways(Base::Instant now, const std::string &endpoint, const std::string &region)
{
    std::vector<Way> found;
    for (const TunnelHelper &helper : m_helpers) {
        if (helper.region == region && found.size() < maxHelpersPerRun) {
            found.push_back({helper.address});
        }
    }
    const bool helpersFirst = isLost(endpoint) || inDoubt();
    if (helpersFirst && !found.empty() && (isLost(endpoint) || m_lost.size() < maxLost)) {
        // An endpoint that is tried through helpers because of other endpoints needs a probe too.
        m_lost[endpoint] = now;
    }
    found.insert(helpersFirst ? found.end() : found.begin(), Way {});
    return found;
}

bool EndpointPaths::recordConnection(const std::string &endpoint, const Way &way)
{
    if (!way.isDirect()) {
        const auto used = std::ranges::find(m_helpers, way.helper, &TunnelHelper::address);
        std::rotate(m_helpers.begin(), used, used == m_helpers.end() ? used : used + 1);
        return false;
    }
    m_failedInARow.clear();
    return m_lost.erase(endpoint) > 0;
}

bool EndpointPaths::recordFailure(Base::Instant now, const std::string &endpoint, const Way &way, WayFailure failure)
{
    if (!way.isDirect()) {
        if (failure != WayFailure::EndpointUnreachable) {
            demote(way.helper);
        }
        return false;
    }
    if (m_helpers.empty()) {
        return false;
    }
    if (m_failedInARow.size() < maxLost) {
        m_failedInARow.insert(endpoint);
    }
    return m_lost.size() < maxLost && m_lost.emplace(endpoint, now).second;
}

bool EndpointPaths::isLost(const std::string &endpoint) const
{
    return m_lost.contains(endpoint);
}

bool EndpointPaths::inDoubt() const
{
    return m_failedInARow.size() >= minFailuresForDoubt;
}

std::optional<std::string> EndpointPaths::nextProbe(Base::Instant now)
{
    std::erase_if(m_lost, [&](const auto &entry) { return now - entry.second > lostRetention; });
    if (m_lost.empty()) {
        m_failedInARow.clear();
        return std::nullopt;
    }
    auto next = m_lost.upper_bound(m_lastProbed);
    if (next == m_lost.end()) {
        next = m_lost.begin();
    }
    m_lastProbed = next->first;
    return m_lastProbed;
}

std::size_t EndpointPaths::lostCount() const
{
    return m_lost.size();
}

void EndpointPaths::demote(const std::string &helper)
{
    const auto found = std::ranges::find(m_helpers, helper, &TunnelHelper::address);
    if (found != m_helpers.end()) {
        std::rotate(found, found + 1, m_helpers.end());
    }
}

} // namespace Yokepond::Relay
