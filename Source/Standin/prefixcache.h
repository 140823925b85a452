// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// An engine's prefix cache: blocks of prompts, the least recently used dropped first.

#pragma once

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Yokepond::Standin {

class PrefixCache
{
public:
    /// Holds at most @p blocks blocks of blockBytes each.
    explicit PrefixCache(std::size_t blocks);

    /// Bytes of @p prompt's beginning that were cached; afterwards all its whole blocks are.
    std::size_t lookUpAndInsert(std::string_view prompt);

    /// Hashes of the blocks that came into the cache since the last call.
    std::vector<std::uint64_t> takeAddedBlocks();

    static constexpr std::size_t blockBytes = 256;

private:
    std::size_t m_maxBlocks;
    std::list<std::uint64_t> m_byRecency; ///< the latest first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
    std::vector<std::uint64_t> m_added;
};

} // namespace Yokepond::Standin
