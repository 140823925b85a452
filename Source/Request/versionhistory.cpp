// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Request/versionhistory.h"

#include <algorithm>
#include <ranges>

namespace Yokepond::Request {

namespace {

/// Time for which a version without endpoints is remembered. No longer period can be asked for.
constexpr Base::Duration retention = std::chrono::hours(1);

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
        pool.versions[Configuration::softwareVersionNumber(endpoint.softwareVersion)].present = true;
    }
    for (Pool &pool : m_pools | std::views::values) {
        std::erase_if(pool.versions,
                      [now](const auto &entry) { return !entry.second.present && now - entry.second.lastPresent >= retention; });
    }
    std::erase_if(m_pools, [](const auto &entry) { return entry.second.versions.empty(); });
}

std::optional<std::uint32_t> VersionHistory::onlyVersion(Base::Instant now, std::uint32_t number, Base::Duration period) const
{
    const auto pool = m_pools.find(number);
    if (pool == m_pools.end() || period > retention || now - pool->second.knownSince < period) {
        return std::nullopt;
    }
    std::optional<std::uint32_t> only;
    for (const auto &[version, state] : pool->second.versions) {
        if (!state.present && now - state.lastPresent >= period) {
            continue;
        }
        if (only) {
            return std::nullopt;
        }
        only = version;
    }
    return only;
}

} // namespace Yokepond::Request
