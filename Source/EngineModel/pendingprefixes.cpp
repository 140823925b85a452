// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "EngineModel/pendingprefixes.h"

#include <ranges>

namespace Yokepond::EngineModel {

void PendingPrefixes::add(const PendingPrefix &prefix, Base::Instant now)
{
    const auto [entry, added] = m_pending.try_emplace(prefix.hash, prefix);
    if (!added && entry->second.expectedEnd <= now) {
        entry->second = prefix;
    }
}

void PendingPrefixes::remove(std::span<const std::uint64_t> hashes, std::uint64_t number)
{
    for (const std::uint64_t hash : hashes) {
        const auto entry = m_pending.find(hash);
        if (entry != m_pending.end() && entry->second.prefill == number) {
            m_pending.erase(entry);
        }
    }
}

std::optional<PendingPrefix> PendingPrefixes::longest(std::span<const std::uint64_t> hashes) const
{
    for (const std::uint64_t hash : hashes | std::views::reverse) {
        if (const auto entry = m_pending.find(hash); entry != m_pending.end()) {
            return entry->second;
        }
    }
    return std::nullopt;
}

std::size_t PendingPrefixes::size() const
{
    return m_pending.size();
}

} // namespace Yokepond::EngineModel
