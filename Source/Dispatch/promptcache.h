// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// What a dispatcher thinks an engine keeps of the prompts it has read: an estimate from the runs sent there.

#pragma once

#include "Base/time.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <list>
#include <span>

namespace Yokepond::Dispatch {

/// A prompt as a chain of parts: the hash of each beginning, and the tokens up to its end.
struct PromptChain
{
    std::span<const std::uint64_t> prefix;
    std::span<const std::uint32_t> tokens; ///< as many as there are entries in prefix, else nothing is known to be kept
};

/// The least recently used parts give way.
class PromptCache
{
public:
    /// Tokens of @p chain's beginning that are kept, or will be when what was sent before has been read.
    std::uint32_t cachedTokens(const PromptChain &chain) const;

    /// Tokens of @p chain's beginning that have been read by @p now.
    std::uint32_t cachedTokensBy(const PromptChain &chain, Base::Instant now) const;

    /// Notes that the whole of @p chain will have been read at @p readAt.
    void insert(const PromptChain &chain, Base::Instant readAt);

    /// Forgets the parts used least recently until at most @p tokens are kept.
    void shrink(std::uint64_t tokens);

private:
    struct Part
    {
        std::uint32_t tokens = 0;
        std::list<std::uint64_t>::iterator position;
        Base::Instant readAt {}; ///< for the first time
    };

    absl::flat_hash_map<std::uint64_t, Part> m_parts;
    std::list<std::uint64_t> m_byUse; ///< the latest first
    std::uint64_t m_tokens = 0;
};

} // namespace Yokepond::Dispatch
