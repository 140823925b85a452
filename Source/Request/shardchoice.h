// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Which of a pool's shards a home asks, by what the shards last said of themselves.

#pragma once

#include "Dispatch/shardmap.h"
#include "Request/types.h"

#include <cstdint>
#include <random>
#include <unordered_map>

namespace Yokepond::Request {

class ShardChoice
{
public:
    /// The shard of @p pool to ask for @p request, null if none takes work; one whose only endpoint is @p avoid only if
    /// there is no other.
    const Dispatch::ShardInfo *choose(Base::Instant now, const Dispatch::ShardMap &shards, std::uint32_t pool,
                                      const NewRequest &request, std::uint32_t avoid, std::mt19937_64 &random) const;

    /// Whether a shard of @p pool lately had no endpoint because all had failed.
    bool someIsDown(Base::Instant now, const Dispatch::ShardMap &shards, std::uint32_t pool) const;

    /// Asks queued and running per thousand of its endpoints' windows; 0 if it has not told lately.
    std::uint32_t pressureOf(Base::Instant now, std::uint32_t shard) const;

    void hearPressure(Base::Instant now, std::uint32_t shard, std::uint32_t pressure);

    /// It had no endpoint that takes work; @p down: because all had failed.
    void hearNoEndpoint(Base::Instant now, std::uint32_t shard, bool down);

private:
    /// What a shard's last reply said of it.
    struct News
    {
        std::uint32_t pressure = 0;
        Base::Instant at {};
        Base::Instant avoidedUntil {};
        bool down = false;
    };

    bool isAvoided(Base::Instant now, std::uint32_t shard) const;

    std::unordered_map<std::uint32_t, News> m_news; ///< by shard
};

} // namespace Yokepond::Request
