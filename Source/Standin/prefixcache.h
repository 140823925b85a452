// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The prefix cache of the engine stand-in.

#pragma once

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Yokepond::Standin {

/// Caches blocks of prompts and evicts the least recently used block first. Only the hashes of the blocks are stored.
class PrefixCache
{
public:
    /// Creates a cache of at most @p blocks blocks of blockBytes each.
    explicit PrefixCache(std::size_t blocks);

    /// Returns the length in bytes of the cached prefix of @p prompt, and inserts the missing complete blocks of the prompt.
    std::size_t insertAndCountCachedBytes(std::string_view prompt);

    /// Returns the hashes of the blocks that were inserted since the last call.
    std::vector<std::uint64_t> takeAddedBlocks();

    static constexpr std::size_t blockBytes = 256;

private:
    std::size_t m_maxBlocks;
    std::list<std::uint64_t> m_byRecency; ///< block hashes, the most recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
    std::vector<std::uint64_t> m_added;
};

} // namespace Yokepond::Standin
