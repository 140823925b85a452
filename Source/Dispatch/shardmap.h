// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Assignment of endpoints to shards and of shards to dispatchers. Every host computes it from the configuration and the
/// membership without an agreement protocol; hosts with the same input get the same result.

#pragma once

#include "Configuration/catalogue.h"
#include "Peer/message.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Yokepond::Dispatch {

/// A shard: some endpoints of one pool in one data centre, and the host that dispatches them.
struct ShardInfo
{
    std::uint32_t id = 0;
    std::uint32_t pool = 0;
    std::string dataCentre;
    std::uint32_t index = 0; ///< index among the shards of this pool and data centre
    std::vector<std::uint32_t> endpoints;
    std::string dispatcher; ///< name of the host that dispatches it; empty if there are no members

    bool operator==(const ShardInfo &) const = default;
};

/// All shards of the fleet.
class ShardMap
{
public:
    ShardMap() = default;

    /// @p members are the members that are not dead. Leaving members get no shards unless there are no others.
    ShardMap(const Configuration::Catalogue &catalogue, const std::vector<Peer::Member> &members);

    /// Returns the map of the same @p catalogue with other members. It costs little unless the shards get another size.
    ShardMap withMembers(const Configuration::Catalogue &catalogue, const std::vector<Peer::Member> &members) const;

    const std::vector<ShardInfo> &shards() const;

    /// Returns the shard with this id, or null.
    const ShardInfo *find(std::uint32_t id) const;

    /// Returns the shards of a pool.
    std::vector<const ShardInfo *> ofPool(std::uint32_t pool) const;

private:
    void divide(const Configuration::Catalogue &catalogue);
    void chooseDispatchers(const std::vector<Peer::Member> &members);

    std::size_t m_shardSize = 0; ///< intended number of endpoints of a shard
    std::vector<ShardInfo> m_shards; ///< sorted by id
};

} // namespace Yokepond::Dispatch
