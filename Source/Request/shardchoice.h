// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Choice of the shard of a pool that a home asks for an endpoint, by the load that the shards last reported.

#pragma once

#include "Dispatch/shardmap.h"
#include "Request/types.h"

#include <cstdint>
#include <random>
#include <unordered_map>
#include <vector>

namespace Yokepond::Request {

/// Chooses shards by the pressure and the refusals in their last replies.
class ShardChoice
{
public:
    /// Returns the one of @p shards to ask for an endpoint for @p request, or null if none is usable. A shard whose only endpoint
    /// is @p avoid is returned only if there is no other.
    const Dispatch::ShardInfo *choose(Base::Instant now, std::vector<const Dispatch::ShardInfo *> shards,
                                      const NewRequest &request, std::uint32_t avoid, std::mt19937_64 &random) const;

    /// Returns whether a shard of @p pool recently had no usable endpoint because all had failed.
    bool anyShardIsDown(Base::Instant now, const Dispatch::ShardMap &shards, std::uint32_t pool) const;

    /// Returns the last reported load of the shard, in asks queued and running per thousand slots; 0 if there is no recent
    /// report.
    std::uint32_t pressureOf(Base::Instant now, std::uint32_t shard) const;

    /// Records the pressure in a reply of the shard.
    void updatePressure(Base::Instant now, std::uint32_t shard, std::uint32_t pressure);

    /// Records that the shard had no usable endpoint; @p down: because all had failed.
    void markWithoutEndpoint(Base::Instant now, std::uint32_t shard, bool down);

private:
    /// State of a shard according to its last replies.
    struct ShardState
    {
        std::uint32_t pressure = 0;
        Base::Instant updatedAt {};
        Base::Instant avoidedUntil {}; ///< no ask is sent to the shard until then
        bool down = false; ///< all endpoints had failed
    };

    bool isAvoided(Base::Instant now, std::uint32_t shard) const;

    std::unordered_map<std::uint32_t, ShardState> m_states; ///< by shard
};

} // namespace Yokepond::Request
