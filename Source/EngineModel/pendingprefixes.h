// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The prompt prefixes that engines are prefilling now.

#pragma once

#include "Base/time.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <span>

namespace Yokepond::EngineModel {

/// A prefix that an engine is prefilling and that no engine has cached.
struct PendingPrefix
{
    std::uint32_t endpoint = 0;
    std::uint64_t hash = 0;
    std::uint32_t tokens = 0; ///< length of the prefix
    Base::Instant expectedEnd {};
    std::uint64_t prefill = 0; ///< number of the prefill that adds it to the cache
};

/// Index of pending prefixes. Requests whose prompts begin alike can wait until the prefix is cached, instead of having other
/// engines prefill it as well. A prefix stays until its prefill ends, whether it was completed or not.
class PendingPrefixes
{
public:
    /// Adds a prefix. If it is pending already, the earlier prefill counts, unless it should have ended by @p now: it may never
    /// end.
    void add(const PendingPrefix &prefix, Base::Instant now);

    /// Removes those of the prefixes that are pending because of the prefill @p number.
    void remove(std::span<const std::uint64_t> hashes, std::uint64_t number);

    /// Returns the longest pending prefix among @p hashes, which are ordered from the shortest prefix to the longest.
    std::optional<PendingPrefix> longest(std::span<const std::uint64_t> hashes) const;

    std::size_t size() const;

private:
    absl::flat_hash_map<std::uint64_t, PendingPrefix> m_pending;
};

} // namespace Yokepond::EngineModel
