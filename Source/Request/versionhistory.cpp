// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Request/versionhistory.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace Yokepond::Request {

namespace {

/// Time for which a version without endpoints is remembered. No longer period can be asked for.
constexpr Base::Duration retention = std::chrono::hours(1);
/// Time between two calls of watch() from which on a host counts as one that stood still.
constexpr Base::Duration maxUnwatched = std::chrono::seconds(1);

} // namespace

void VersionHistory::updateView(Base::Instant now, const Configuration::Catalogue &catalogue)
{
    for (Pool &pool : m_pools | std::views::values) {
        for (Version &version : pool.versions | std::views::values) {
            version.lastPresent = version.present ? now : version.lastPresent;
            version.present = false;
        }
    }
    const Configuration::Endpoint *previous = nullptr;
    for (const Configuration::Endpoint &endpoint : catalogue.endpoints()) {
        // Thousands of endpoints have few pools and versions.
        const bool isCounted
            = previous != nullptr && previous->pool == endpoint.pool && previous->softwareVersion == endpoint.softwareVersion;
        previous = &endpoint;
        if (isCounted) {
            continue;
        }
        Pool &pool = m_pools.try_emplace(endpoint.pool, Pool {now, {}}).first->second;
        pool.versions[catalogue.versionNumber(endpoint.softwareVersion)].present = true;
    }
    for (Pool &pool : m_pools | std::views::values) {
        std::erase_if(pool.versions,
                      [now](const auto &entry) { return !entry.second.present && now - entry.second.lastPresent >= retention; });
    }
    std::erase_if(m_pools, [](const auto &entry) { return entry.second.versions.empty(); });
}

void VersionHistory::watch(Base::Instant now)
{
    const Base::Instant last = std::exchange(m_lastWatched, now);
    if (last != Base::Instant {} && now - last >= maxUnwatched) {
        std::ranges::for_each(m_pools | std::views::values, [now](Pool &pool) { pool.watchedSince = now; });
    }
}

std::optional<Peer::OnlyVersion> VersionHistory::seenVersion(Base::Instant now, std::uint32_t number, Base::Duration period) const
{
    const auto pool = m_pools.find(number);
    if (pool == m_pools.end() || period > retention) {
        return std::nullopt;
    }
    Peer::OnlyVersion seen {0, now - pool->second.watchedSince};
    std::size_t recent = 0;
    for (const auto &[version, state] : pool->second.versions) {
        if (state.present || now - state.lastPresent < period) {
            seen.softwareVersion = version;
            ++recent;
        } else {
            seen.watchedFor = std::min(seen.watchedFor, now - state.lastPresent);
        }
    }
    if (recent > 1) {
        return Peer::OnlyVersion {0, period};
    }
    return recent == 0 ? std::nullopt : std::optional(seen);
}

} // namespace Yokepond::Request
