// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Estimate of the prompts in an engine's KV cache, made from the runs that the dispatcher sent to the engine.

#pragma once

#include "Base/time.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <list>
#include <span>

namespace Yokepond::Dispatch {

/// A prompt as a chain of parts: the hash of each prefix, and its length in tokens.
struct PromptChain
{
    std::span<const std::uint64_t> prefix;
    std::span<const std::uint32_t> tokens; ///< one entry for each of prefix; otherwise the chain counts as not cached
};

/// A cache of prompt parts that evicts the least recently used parts first.
class PromptCache
{
public:
    /// Returns the length in tokens of the cached prefix of @p chain. It includes parts that the engine still has to prefill.
    std::uint32_t cachedTokens(const PromptChain &chain) const;

    /// Returns the length in tokens of the prefix of @p chain whose prefill is complete at @p now.
    std::uint32_t cachedTokensBy(const PromptChain &chain, Base::Instant now) const;

    /// Adds all parts of @p chain. The prefill of those that are new will be complete at @p readAt.
    void insert(const PromptChain &chain, Base::Instant readAt);

    /// Records that the prefill of the parts with these hashes was complete at @p readAt, unless it was before.
    void setRead(std::span<const std::uint64_t> prefix, Base::Instant readAt);

    /// Evicts the least recently used parts until at most @p tokens are left.
    void shrink(std::uint64_t tokens);

private:
    struct Part
    {
        std::uint32_t tokens = 0; ///< length of this part alone
        std::list<std::uint64_t>::iterator position; ///< entry in m_byUse
        Base::Instant readAt {}; ///< when its first prefill is complete
    };

    absl::flat_hash_map<std::uint64_t, Part> m_parts;
    std::list<std::uint64_t> m_byUse; ///< most recently used first
    std::uint64_t m_tokens = 0; ///< sum over all parts
};

} // namespace Yokepond::Dispatch
