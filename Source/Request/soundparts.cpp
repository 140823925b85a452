// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Request/soundparts.h"

#include <algorithm>

namespace Yokepond::Request {

namespace {

/// Five minutes at 14 requests per second, a host's share of the target load, if each brings a part that the others do not have.
constexpr std::size_t maxParts = 4096;

} // namespace

void SoundParts::record(std::uint32_t pool, const std::vector<std::uint64_t> &parts, Base::Instant began)
{
    for (const std::uint64_t id : parts) {
        const Peer::PromptPart part {pool, id};
        const auto [entry, added] = m_began.try_emplace(part, began);
        entry->second = std::max(entry->second, began);
        if (added) {
            m_order.push_back(part);
        }
    }
    while (m_order.size() > maxParts) {
        m_began.erase(m_order.front());
        m_order.pop_front();
    }
}

std::optional<Base::Instant> SoundParts::lastBegan(const Peer::PromptPart &part) const
{
    const auto entry = m_began.find(part);
    return entry == m_began.end() ? std::nullopt : std::optional(entry->second);
}

std::size_t SoundParts::size() const
{
    return m_began.size();
}

} // namespace Yokepond::Request
