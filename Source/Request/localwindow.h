// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Runs that a home starts without a dispatcher while the shard's dispatcher is unreachable.

#pragma once

#include "Configuration/catalogue.h"
#include "Dispatch/shardmap.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace Yokepond::Request {

/// Counts the home's runs at each endpoint and chooses endpoints within the home's fair share of their slots.
class LocalWindow
{
public:
    /// Counts the start of a run.
    void runStarted(std::uint32_t endpoint);

    /// Counts the end of a run.
    void runEnded(std::uint32_t endpoint);

    /// Returns the endpoint of @p shard that has the fewest of this home's runs, among those with fewer than their slots divided
    /// by @p hosts (at least one); nothing if there is none. None of @p unavailable is chosen. Ties are broken by rendezvous
    /// hashing with @p prefixHash: homes that bypass their dispatcher at the same time must not all choose the same endpoint.
    std::optional<std::uint32_t> choose(const Dispatch::ShardInfo &shard, const Configuration::Catalogue &catalogue,
                                        std::size_t hosts, std::uint64_t prefixHash,
                                        const std::set<std::uint32_t> &unavailable = {}) const;

private:
    std::uint32_t running(std::uint32_t endpoint) const;

    std::map<std::uint32_t, std::uint32_t> m_running;
};

} // namespace Yokepond::Request
