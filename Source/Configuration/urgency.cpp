// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Configuration/urgency.h"

#include "Configuration/catalogue.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace Yokepond::Configuration {

namespace {

/// Returns the ranks that requests can have by their organisation. It contains 0 if some requests have none.
std::set<int> organisationRanks(const CatalogueParts &parts)
{
    std::set<int> ranks;
    std::ranges::transform(parts.organisations, std::inserter(ranks, ranks.end()),
                           [](const Organisation &organisation) { return organisation.rank.value_or(0); });
    if (ranks.empty() || std::ranges::any_of(parts.routes, &Route::isPublic)) {
        ranks.insert(0);
    }
    return ranks;
}

} // namespace

Urgency urgencyOf(const RequestClass &requestClass, int organisationRank)
{
    return {organisationRank == 0 ? requestClass.rank : organisationRank, requestClass.rank};
}

UrgencyScale::UrgencyScale(std::vector<Urgency> urgencies)
    : m_urgencies(std::move(urgencies))
{
}

UrgencyLevel UrgencyScale::levelOf(const Urgency &urgency) const
{
    if (m_urgencies.empty()) {
        return {};
    }
    const auto position = std::ranges::lower_bound(m_urgencies, urgency);
    const auto index = static_cast<std::size_t>(position - m_urgencies.begin());
    return {std::min(index, m_urgencies.size() - 1), m_urgencies.size()};
}

bool UrgencyScale::mayBeMoreUrgent(const RequestClass &requestClass, const Urgency &urgency) const
{
    const auto mostUrgent = std::ranges::find(m_urgencies, requestClass.rank, &Urgency::tierRank);
    return mostUrgent != m_urgencies.end() && *mostUrgent < urgency;
}

Urgency UrgencyScale::leastUrgent() const
{
    return m_urgencies.empty() ? Urgency {} : m_urgencies.back();
}

std::unordered_map<std::uint32_t, UrgencyScale> urgencyScales(const CatalogueParts &parts)
{
    std::unordered_map<std::uint32_t, std::set<Urgency>> byPool;
    for (const int rank : organisationRanks(parts)) {
        for (const RequestClass &requestClass : parts.classes) {
            byPool[requestClass.pool].insert(urgencyOf(requestClass, rank));
        }
    }
    std::unordered_map<std::uint32_t, UrgencyScale> scales;
    for (const auto &[pool, urgencies] : byPool) {
        scales.emplace(pool, UrgencyScale({urgencies.begin(), urgencies.end()}));
    }
    return scales;
}

} // namespace Yokepond::Configuration
