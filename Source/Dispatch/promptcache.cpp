// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Dispatch/promptcache.h"

#include <algorithm>

namespace Yokepond::Dispatch {

std::uint32_t PromptCache::cachedTokens(const PromptChain &chain) const
{
    return cachedTokensBy(chain, Base::Instant::max());
}

std::uint32_t PromptCache::cachedTokensBy(const PromptChain &chain, Base::Instant now) const
{
    if (chain.prefix.size() != chain.tokens.size()) {
        return 0;
    }
    std::uint32_t tokens = 0;
    for (std::size_t index = 0; index < chain.prefix.size(); ++index) {
        const auto part = m_parts.find(chain.prefix[index]);
        if (part == m_parts.end() || part->second.readAt > now) {
            break;
        }
        tokens = chain.tokens[index];
    }
    return tokens;
}

void PromptCache::insert(const PromptChain &chain, Base::Instant readAt)
{
    if (chain.prefix.size() != chain.tokens.size()) {
        return;
    }
    // Iterates from the end, so that a part always counts as used more recently than the parts that depend on it.
    for (std::size_t index = chain.prefix.size(); index-- > 0;) {
        const std::uint32_t before = index == 0 ? 0 : chain.tokens[index - 1];
        // The lengths come from callers and may be inconsistent, that is, not grow from part to part.
        const std::uint32_t own = chain.tokens[index] - std::min(before, chain.tokens[index]);
        const auto [entry, added] = m_parts.try_emplace(chain.prefix[index]);
        if (added) {
            m_byUse.push_front(chain.prefix[index]);
        } else {
            m_byUse.splice(m_byUse.begin(), m_byUse, entry->second.position);
        }
        m_tokens = m_tokens + own - entry->second.tokens;
        entry->second = {own, m_byUse.begin(), added ? readAt : entry->second.readAt};
    }
}

void PromptCache::setRead(std::span<const std::uint64_t> prefix, Base::Instant readAt)
{
    for (const std::uint64_t hash : prefix) {
        if (const auto part = m_parts.find(hash); part != m_parts.end()) {
            part->second.readAt = std::min(part->second.readAt, readAt);
        }
    }
}

void PromptCache::shrink(std::uint64_t tokens)
{
    while (m_tokens > tokens && !m_byUse.empty()) {
        const auto part = m_parts.find(m_byUse.back());
        m_tokens -= part->second.tokens;
        m_parts.erase(part);
        m_byUse.pop_back();
    }
}

} // namespace Yokepond::Dispatch
