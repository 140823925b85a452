// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Standin/prefixcache.h"

#include "Base/hash.h"

#include <utility>

namespace Yokepond::Standin {

PrefixCache::PrefixCache(std::size_t blocks)
    : m_maxBlocks(blocks)
{
}

std::size_t PrefixCache::insertAndCountCachedBytes(std::string_view prompt)
{
    std::uint64_t blockHash = 0;
    std::size_t cached = 0;
    bool contiguous = true;
    for (std::size_t begin = 0; begin + blockBytes <= prompt.size(); begin += blockBytes) {
        // The hash of a block also covers the whole prompt before it.
        blockHash = Base::hash64(prompt.substr(begin, blockBytes), blockHash);
        const auto found = m_blocks.find(blockHash);
        if (found != m_blocks.end()) {
            cached += contiguous ? blockBytes : 0;
            m_byRecency.splice(m_byRecency.begin(), m_byRecency, found->second);
            continue;
        }
        contiguous = false;
        m_byRecency.push_front(blockHash);
        m_blocks.emplace(blockHash, m_byRecency.begin());
        m_added.push_back(blockHash);
        if (m_blocks.size() > m_maxBlocks) {
            m_blocks.erase(m_byRecency.back());
            m_byRecency.pop_back();
        }
    }
    return cached;
}

std::vector<std::uint64_t> PrefixCache::takeAddedBlocks()
{
    return std::exchange(m_added, {});
}

} // namespace Yokepond::Standin
